"""One call on the fake network, as its two ends see it."""

from typing import Any

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from briarthread_common.http.channel import ChannelRequest

BUFFERED_MESSAGES = 1000
BODY = "http.response.body"


class FakeCall:
    """Join the two ends of one call."""

    def __init__(self, request: ChannelRequest, caller: str = "") -> None:
        self.request = request
        self.disconnected = anyio.Event()
        self.body_given = False
        self.sender: MemoryObjectSendStream[dict[str, Any]]
        self.receiver: MemoryObjectReceiveStream[dict[str, Any]]
        self.sender, self.receiver = anyio.create_memory_object_stream(
            BUFFERED_MESSAGES
        )
        path, _, query = request.path.partition("?")
        self.scope = {
            "type": "http",
            "method": request.method,
            "path": path,
            "raw_path": path.encode("latin-1"),
            "query_string": query.encode(),
            "client": (caller, 0),
            "headers": [(k.encode(), v.encode()) for k, v in request.headers],
        }

    async def receive(self) -> dict[str, Any]:
        """Give the server its next message."""
        if not self.body_given:
            self.body_given = True
            return {"type": "http.request", "body": self.request.body or b""}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        """
        Take a message of the server; drop it if the client is gone.

        Once the answer is complete the server is told that the client is gone,
        as uvicorn tells it.
        """
        try:
            await self.sender.send(message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        if message["type"] == BODY and not message.get("more_body", False):
            self.disconnected.set()

    def end(self) -> None:
        """Hang up."""
        self.disconnected.set()
        self.receiver.close()
