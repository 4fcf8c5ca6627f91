"""A target over a real socket that sends earlier answers again, late."""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio
import msgspec
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

HEAD_END = b"\r\n\r\n"
PAUSE_SECONDS = 0.02
"""Time between a late answer and the one that was asked for."""


@dataclass(frozen=True, slots=True)
class Asked:
    """A request that a target received; connections are numbered from 1."""

    path: str
    headers: Mapping[str, str]
    connection: int


class RepeatingTarget:
    """
    Answer each request with the bytes that ``answer`` returns for it.

    A request on a connection that has carried one before gets the next of ``late``
    first, if there is any, and its own answer after it.
    """

    def __init__(self, answer: Callable[[Asked], bytes]) -> None:
        self.answer = answer
        self.late: deque[bytes] = deque()
        self.asked: list[Asked] = []
        self.connections = 0

    async def start(self, tasks: TaskGroup) -> str:
        """Listen on a free port of the loopback interface and return the address."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, self._serve)
        return f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"

    async def _serve(self, stream: SocketStream) -> None:
        self.connections += 1
        number = self.connections
        has_answered = False
        async with stream:
            try:
                while True:
                    asked = await _read_request(stream, number)
                    self.asked.append(asked)
                    if has_answered and self.late:
                        await stream.send(self.late.popleft())
                        await anyio.sleep(PAUSE_SECONDS)
                    await stream.send(self.answer(asked))
                    has_answered = True
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return


def build_answer(
    body: bytes, headers: Mapping[str, str] | None = None, status: int = 200
) -> bytes:
    """Return the bytes of a whole answer."""
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    lines = [f"HTTP/1.1 {status} Reason", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join(lines).encode() + HEAD_END + body


def build_json_answer(value: object, status: int = 200) -> bytes:
    """Return the bytes of a whole answer with a value as JSON."""
    return build_answer(msgspec.json.encode(value), status=status)


async def _read_request(stream: SocketStream, connection: int) -> Asked:
    data = b""
    while HEAD_END not in data:
        data += await stream.receive()
    head, _, body = data.partition(HEAD_END)
    first, *lines = head.decode().split("\r\n")
    headers = {n.lower(): v for n, _, v in (line.partition(": ") for line in lines)}
    while len(body) < int(headers.get("content-length", "0")):
        body += await stream.receive()
    return Asked(first.split(" ")[1], headers, connection)
