"""A target over a real socket that sends answers twice, whole or in part."""

from collections import deque
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream, TaskGroup

from processes.raw_target import listen, read_request

STAMP_BYTES = 24
MAX_HEAD_BYTES = 300
"""Size in bytes that no head of these answers reaches."""


@dataclass(frozen=True, slots=True)
class Answer:
    """
    What a target sends for one request.

    Before it come the bytes from ``late_from`` to ``late`` of a second answer to the
    request before it on the connection; ``surplus`` is the number of bytes of a second
    answer to this request that come with the answer. A body of ``size`` bytes is sent
    with its length, or in chunks. ``fields`` are lines that the head begins with, and
    ``line_end`` ends each line of it.
    """

    status: int = 200
    late: int = 0
    late_from: int = 0
    surplus: int = 0
    size: int = 40
    chunked: bool = False
    fields: str = ""
    line_end: str = "\r\n"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a target has answered; connections are numbered from 1."""

    id: str
    status: int
    body: bytes
    connection: int


class StutteringTarget:
    """
    Serve connections that are kept; each request takes the next of ``answers``.

    Without any left it is answered once, with 200. ``arrivals`` are the requests that
    came, ``connections`` the number of connections.
    """

    def __init__(self) -> None:
        self.answers: deque[Answer] = deque()
        self.arrivals: list[Arrival] = []
        self.connections = 0
        self.streams: list[SocketStream] = []

    async def start(self, tasks: TaskGroup) -> str:
        """Listen on a free port of the loopback interface and return the address."""
        return await listen(tasks, self._serve)

    async def send_unasked(self, data: bytes) -> None:
        """Send bytes on the newest connection, although no request waits there."""
        await self.streams[-1].send(data)

    async def close_connections(self) -> None:
        """Send the end of each connection, as a target that closes idle ones."""
        for stream in self.streams:
            await stream.send_eof()

    async def _serve(self, stream: SocketStream) -> None:
        self.connections += 1
        self.streams.append(stream)
        number = self.connections
        before = b""
        async with stream:
            while (headers := await read_request(stream)) is not None:
                answer = self.answers.popleft() if self.answers else Answer()
                request_id = headers.get("x-request-id", "")
                data, body = build_answer(answer, request_id)
                self.arrivals.append(Arrival(request_id, answer.status, body, number))
                try:
                    await stream.send(
                        before[answer.late_from : answer.late]
                        + data
                        + data[: answer.surplus]
                    )
                except anyio.BrokenResourceError:
                    return
                before = data


def build_answer(answer: Answer, request_id: str) -> tuple[bytes, bytes]:
    """Return the bytes of a whole answer, and the body in it."""
    text = f"{answer.status} to {request_id}".encode()
    body = text.ljust(answer.size, b".")
    framing = "Transfer-Encoding: chunked" if answer.chunked else None
    head = (
        f"HTTP/1.1 {answer.status} Reason\r\n{answer.fields}"
        f"X-Request-Id: {request_id}\r\n"
        f"X-Server-Stamp: {request_id.rjust(STAMP_BYTES, '0')}\r\n"
        f"{framing or f'Content-Length: {len(body)}'}\r\n\r\n"
    )
    head = head.replace("\r\n", answer.line_end).encode()
    if answer.chunked:
        return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body), body
    return head + body, body


def fill_reads(total: int, request_id: str, surplus: int, chunked: bool) -> Answer:
    """Return an answer to a request whose head and body have a size in bytes."""
    for size in range(max(total - MAX_HEAD_BYTES, 0), total):
        answer = Answer(size=size, surplus=surplus, chunked=chunked)
        if len(build_answer(answer, request_id)[0]) == total:
            return answer
    raise ValueError(f"no answer has {total} bytes")
