"""Bounds on the bytes of one response that are no part of an answer."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from briarthread_common.core.exceptions import InvalidResponseError
from briarthread_common.http.chunked_response import ChunkedResponse

MAX_HEAD_BYTES = 32 * 1024
"""Largest head of a response in bytes, with the interim responses before it. The same
is accepted from callers."""
HEAD_READ_BYTES = 4 * 1024
"""Bytes that are read at a time before the head is complete. An interim response of a
few bytes costs as much time as a large one."""
INTERIM_BURST = 10
"""Interim responses that may precede a response at any rate."""
INTERIM_PER_SECOND = 2.0
"""Interim responses that may precede it for each second beside the burst."""
MAX_PARTIAL_SECONDS = 2.0
"""Time in seconds for which parts of a head, an event or the size of a chunk may go on
arriving. The rest usually comes with the first byte, or not at all."""
SMALL_CHUNK_BYTES = 1024
"""Size in bytes under which a chunk costs more time than its bytes are worth."""
SMALL_CHUNK_BURST = 4096
"""Small chunks that a response may have at any rate."""
SMALL_CHUNKS_PER_SECOND = 1000.0
"""Small chunks that a response may have for each second beside the burst, some ten
times as many as a fast stream of single tokens."""
MAX_FRAMING_BYTES = 256 * 1024
"""Bytes of chunk sizes, extensions and trailers that a response may have beside
FRAMING_SHARE of its body. It covers what has been read but not yet parsed."""
FRAMING_SHARE = 4
"""Bytes of framing for each byte of the body."""
HEAD_END = re.compile(rb"\r?\n\r?\n")
CHUNKED = re.compile(rb"\ntransfer-encoding:[^\n]*chunked", re.IGNORECASE)
STATUS_LINE_BEGIN = b"HTTP/"
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


@dataclass(slots=True, eq=False)
class ResponseBounds:
    """
    Count the bytes of a response; raise InvalidResponseError if they exceed a bound.

    Times are in seconds on the runtime's clock. ``head_since`` is when the first byte
    arrived, ``partial_since`` when the first one arrived of a head whose end has not,
    or of what surrounds the parts of a body.

    >>> bounds = ResponseBounds()
    >>> bounds.note_received(b"HTTP/1.1 200 OK", now=1.0)
    >>> bounds.check(now=2.9)
    >>> bounds.check(now=3.1)
    Traceback (most recent call last):
        ...
    briarthread_common.core.exceptions.InvalidResponseError: incomplete after 2 s
    """

    received: int = 0
    in_head: bool = True
    head: bytearray = field(default_factory=bytearray)
    partial_since: float | None = None
    head_since: float | None = None
    body_since: float = 0.0
    body_bytes: int = 0
    small_chunks: int = 0
    chunked: ChunkedResponse | None = None

    def check(self, now: float) -> None:
        """Check what has been received, before more of it is read."""
        since = self.partial_since
        if since is not None and now > since + MAX_PARTIAL_SECONDS:
            raise InvalidResponseError(f"incomplete after {MAX_PARTIAL_SECONDS:g} s")
        if self.in_head and self.head_since is not None:
            self._check_head(now - self.head_since)

    def _check_head(self, seconds: float) -> None:
        if self.received > MAX_HEAD_BYTES:
            raise InvalidResponseError(f"head larger than {MAX_HEAD_BYTES} bytes")
        allowed = INTERIM_BURST + INTERIM_PER_SECOND * seconds
        if len(HEAD_END.findall(self.head)) > allowed:
            raise InvalidResponseError("too many interim responses")

    def note_received(self, data: bytes, now: float) -> None:
        """Record bytes that were read from the connection."""
        self.received += len(data)
        if self.partial_since is None:
            self.partial_since = now
        if not self.in_head:
            if self.chunked is not None:
                self.chunked.feed(data)
            return
        self.head += data
        if self.head_since is None:
            self.head_since = now
        if self.head.endswith((b"\n\r\n", b"\n\n")):
            self.partial_since = None

    def end_head(self, now: float, has_body: bool = True) -> None:
        """Record that the head is complete; one that answers HEAD has no body."""
        self.in_head = False
        self.partial_since = None
        self.body_since = now
        if has_body and CHUNKED.search(self.head, 0, self._head_bytes()) is not None:
            self.chunked = ChunkedResponse()
            self.chunked.feed(bytes(self.head))

    def note_chunk(self, size: int, now: float) -> None:
        """Record a part of the body that has been parsed."""
        self.partial_since = None
        self.body_bytes += size
        framing = self.received - self.body_bytes
        if framing > MAX_FRAMING_BYTES + FRAMING_SHARE * self.body_bytes:
            raise InvalidResponseError("body with more framing than content")
        if size >= SMALL_CHUNK_BYTES:
            return
        self.small_chunks += 1
        allowed = SMALL_CHUNKS_PER_SECOND * (now - self.body_since)
        if self.small_chunks > SMALL_CHUNK_BURST + allowed:
            raise InvalidResponseError("body in too many small chunks")

    def has_foreign_bytes(self) -> bool:
        """
        Return whether other bytes come before a head, or in it.

        If a part of a response lies before the next one, the parser takes both for one
        head, with the status of the first. The status line of the second is then
        within that head, in a line or as one.
        """
        if not STATUS_LINE_BEGIN.startswith(self.head[: len(STATUS_LINE_BEGIN)]):
            return True
        return any(
            STATUS_LINE.search(self.head, begin + 1, end) is not None
            for begin, end in self._heads()
        )

    def has_excess(self) -> bool:
        """Return whether bytes followed a response whose body has ended."""
        if self.chunked is not None:
            return not self.chunked.ends_exactly()
        return self.received > self._head_bytes() + self.body_bytes

    def _head_bytes(self) -> int:
        """Return the size of the head with the interim responses before it."""
        return max((end for _, end in self._heads()), default=0)

    def _heads(self) -> Iterator[tuple[int, int]]:
        """Yield where each complete head begins and ends, up to the last one."""
        begin = 0
        while (end := HEAD_END.search(self.head, begin)) is not None:
            yield begin, end.end()
            status = self.head[begin : end.start()].split(b" ", 2)[1:2]
            begin = end.end()
            if not status or not status[0].startswith(b"1"):
                return
