"""One call on the fake network, with its client and its server side."""

from typing import Any

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from briarthread_common.http.channel import ChannelRequest

MAX_BUFFERED_MESSAGES = 1000
BODY_MESSAGE = "http.response.body"


class FakeCall:
    """Connect the client and the server side of one call."""

    def __init__(self, request: ChannelRequest, caller: str = "") -> None:
        self.request = request
        self.disconnected = anyio.Event()
        self.body_delivered = False
        self.sender: MemoryObjectSendStream[dict[str, Any]]
        self.receiver: MemoryObjectReceiveStream[dict[str, Any]]
        self.sender, self.receiver = anyio.create_memory_object_stream(
            MAX_BUFFERED_MESSAGES
        )
        path, _, query = request.path.partition("?")
        self.scope = {
            "type": "http",
            "method": request.method,
            "path": path,
            "raw_path": path.encode("latin-1"),
            "query_string": query.encode(),
            "client": (caller, 0),
            "headers": [(k.encode(), v.encode("latin-1")) for k, v in request.headers],
        }

    async def receive(self) -> dict[str, Any]:
        """Return the next ASGI message for the server."""
        if not self.body_delivered:
            self.body_delivered = True
            return {"type": "http.request", "body": self.request.body or b""}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        """
        Pass an ASGI message on to the client; drop it if the client has disconnected.

        Once the response is complete the server receives ``http.disconnect``, as it
        does from uvicorn.
        """
        try:
            await self.sender.send(message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        if message["type"] == BODY_MESSAGE and not message.get("more_body", False):
            self.disconnected.set()

    def disconnect(self) -> None:
        """Disconnect the client."""
        self.disconnected.set()
        self.receiver.close()
