"""A target over a real socket whose responses end with their connection."""

from collections import deque
from collections.abc import Awaitable, Callable
from enum import StrEnum

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from briarthread_common.http.call_connection import RESET_ON_CLOSE

EVENT_COUNT = 5
EVENT_SECONDS = 0.02
PLAIN_BODY = b"a whole answer"
CHUNK_BYTES = 65536


class ResponseEnd(StrEnum):
    """How a response without a length or chunks ends."""

    WHOLE = "whole"
    WITHIN_EVENT = "within-event"
    AFTER_HEAD = "after-head"
    RESET = "reset"


class RawTarget:
    """
    Answer each request on a connection of its own, with no framing of the body.

    Each response takes the next of ``ends``, which several targets may share; without
    any it is whole. ``resumed_from`` has the last event id that each request named.
    """

    def __init__(self, name: str, ends: deque[ResponseEnd]) -> None:
        self.name = name
        self.ends = ends
        self.connections = 0
        self.resumed_from: list[int] = []

    async def start(self, tasks: TaskGroup) -> str:
        """Listen on a free port of the loopback interface and return the address."""
        return await listen(tasks, self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        self.connections += 1
        async with stream:
            headers = await read_request(stream)
            if headers is None:
                return
            end = self.ends.popleft() if self.ends else ResponseEnd.WHOLE
            await self._respond(stream, headers, end)
            if end is ResponseEnd.RESET:
                stream.extra(SocketAttribute.raw_socket).setsockopt(*RESET_ON_CLOSE)

    async def _respond(
        self, stream: SocketStream, headers: dict[str, str], end: ResponseEnd
    ) -> None:
        is_stream = "x-token-count" in headers
        head = (
            "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\n"
            f"X-Request-Id: {headers['x-request-id']}\r\n\r\n"
        )
        await stream.send(head.encode())
        if end is ResponseEnd.AFTER_HEAD:
            return
        if not is_stream:
            cut = len(PLAIN_BODY) // 2 if end is ResponseEnd.RESET else None
            await stream.send(PLAIN_BODY[:cut])
            return
        await self._send_events(stream, headers, end)

    async def _send_events(
        self, stream: SocketStream, headers: dict[str, str], end: ResponseEnd
    ) -> None:
        last = int(headers.get("last-event-id", "0"))
        self.resumed_from.append(last)
        for number in range(last + 1, EVENT_COUNT + 1):
            await anyio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if end is not ResponseEnd.WHOLE and number == last + 3:
                await stream.send(event[:7])
                return
            await stream.send(event)


async def listen(
    tasks: TaskGroup, serve: Callable[[SocketStream], Awaitable[None]]
) -> str:
    """Serve connections on a free port of the loopback interface; return it."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    tasks.start_soon(listener.serve, serve)
    port = listener.extra(SocketAttribute.local_port)
    return f"127.0.0.1:{port}"


async def read_request(stream: SocketStream) -> dict[str, str] | None:
    """Read one request and return its headers, ``None`` if none came."""
    connection = h11.Connection(h11.SERVER)
    headers: dict[str, str] | None = None
    while True:
        match connection.next_event():
            case h11.NEED_DATA:
                try:
                    connection.receive_data(await stream.receive(CHUNK_BYTES))
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return None
            case h11.Request(headers=fields):
                headers = {name.decode(): value.decode() for name, value in fields}
            case h11.EndOfMessage():
                return headers
            case h11.ConnectionClosed():
                return None
