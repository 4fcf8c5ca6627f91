"""A target that fails with one status, however its response is framed."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from briarthread_common.http.call_connection import RESET_ON_CLOSE
from processes.raw_target import listen, read_request

BODY = b"words of the target"
CHUNK = b"%x\r\n%s\r\n" % (len(BODY), BODY)


class Framing(StrEnum):
    """How the body of a response is framed, and where it is cut off."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CHUNKS_THEN_CLOSE = "chunks-then-close"
    CLOSE = "close"
    CUT_IN_LENGTH = "cut-in-length"
    CUT_IN_CHUNK = "cut-in-chunk"
    CUT_BETWEEN_CHUNKS = "cut-between-chunks"
    RESET_IN_CHUNK = "reset-in-chunk"


WHOLE_FRAMINGS = [
    Framing.LENGTH,
    Framing.CHUNKS,
    Framing.CHUNKS_THEN_CLOSE,
    Framing.CLOSE,
]
CUT_FRAMINGS = [framing for framing in Framing if framing not in WHOLE_FRAMINGS]
CLOSING = "Connection: close\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
LENGTH = f"Content-Length: {len(BODY)}\r\n"
PARTS: dict[Framing, tuple[str, bytes]] = {
    Framing.LENGTH: (LENGTH, BODY),
    Framing.CHUNKS: (CHUNKED, CHUNK + b"0\r\n\r\n"),
    Framing.CHUNKS_THEN_CLOSE: (CHUNKED + CLOSING, CHUNK + b"0\r\n\r\n"),
    Framing.CLOSE: (CLOSING, BODY),
    Framing.CUT_IN_LENGTH: (LENGTH, BODY[:5]),
    Framing.CUT_IN_CHUNK: (CHUNKED, CHUNK[:9]),
    Framing.CUT_BETWEEN_CHUNKS: (CHUNKED, CHUNK),
    Framing.RESET_IN_CHUNK: (CHUNKED, CHUNK[:9]),
}
"""Fields and body of each framing."""
RESET_DELAY_SECONDS = 0.05
SUCCESS = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
STAMP = "X-Server-Stamp: stamp\r\n"


@dataclass
class RefusingTarget:
    """
    Run each request and answer it with a status that usually means a refusal.

    It never says that a request was not run; ``stamped`` is whether it signs.
    """

    status: int = 503
    framing: Framing = Framing.LENGTH
    stamped: bool = False
    failed_runs: int = 0
    succeeds: bool = False

    @contextmanager
    def succeeding(self) -> Iterator[None]:
        """Answer with a success for a while."""
        self.succeeds = True
        try:
            yield
        finally:
            self.succeeds = False

    async def start(self, tasks: TaskGroup) -> str:
        """Listen on a free port of the loopback interface and return the address."""
        return await listen(tasks, self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            while (headers := await read_request(stream)) is not None:
                if self.succeeds:
                    await stream.send(SUCCESS)
                    continue
                self.failed_runs += 1
                fields, body = PARTS[self.framing]
                head = (
                    f"HTTP/1.1 {self.status} Failed\r\n"
                    f"X-Request-Id: {headers.get('x-request-id', '')}\r\n"
                    f"{STAMP if self.stamped else ''}{fields}\r\n"
                )
                await stream.send(head.encode() + body)
                if self.framing is Framing.RESET_IN_CHUNK:
                    # What was sent has to arrive before the reset discards it.
                    await anyio.sleep(RESET_DELAY_SECONDS)
                    raw = stream.extra(SocketAttribute.raw_socket)
                    raw.setsockopt(*RESET_ON_CLOSE)
                if self.framing not in (Framing.LENGTH, Framing.CHUNKS):
                    return
