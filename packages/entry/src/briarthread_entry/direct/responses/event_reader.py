"""Parser that splits a stream into complete events."""

import re
from dataclasses import dataclass

from briarthread_common.core.decoding import read_whole_number
from briarthread_common.core.exceptions import InvalidResponseError
from briarthread_common.http.response_bounds import MAX_PARTIAL_SECONDS

EVENT_END = re.compile(rb"\r?\n\r?\n")
LONGEST_EVENT_END = 4
EVENT_BURST = 1000
"""Events that a stream may have at any rate."""
EVENTS_PER_SECOND = 1000.0
"""Events that a stream may have for each second beside the burst, some ten times as
many as a fast stream of single tokens."""
MAX_EVENT_BYTES = 1024 * 1024
"""Largest event in bytes, thousands of times the size of one with some tokens."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of an event and its id, ``None`` for an event without one."""

    raw: bytes
    id: int | None

    @property
    def is_blank(self) -> bool:
        """Return whether it has no line, so that it says nothing."""
        return not self.raw.strip(b"\r\n")


class EventReader:
    r"""
    Buffer chunks and return each event once it is complete.

    An event ends with an empty line; lines end with LF or CR LF. ``partial_since`` is
    when the first byte of an incomplete event arrived, ``None`` if there is none.
    Times are in seconds on the runtime's clock.

    >>> reader = EventReader()
    >>> [event.id for event in reader.feed(b"id: 1\ndata: a\n\nid: 2\nda", now=1.0)]
    [1]
    >>> reader.incomplete, reader.partial_since
    (b'id: 2\nda', 1.0)
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.partial_since: float | None = None
        self.began: float | None = None
        self.count = 0

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of the event whose end has not come."""
        return bytes(self.buffer)

    def feed(self, chunk: bytes, now: float) -> list[StreamEvent]:
        """
        Return the events that are complete with this chunk.

        Raise InvalidResponseError if there are too many, or if the next one is too
        large, or incomplete although its parts have been arriving for too long.
        """
        if self.began is None:
            self.began = now
        allowed = EVENT_BURST + EVENTS_PER_SECOND * (now - self.began)
        searched = max(len(self.buffer) - LONGEST_EVENT_END, 0)
        self.buffer += chunk
        events: list[StreamEvent] = []
        begin = 0
        while (end := EVENT_END.search(self.buffer, max(searched, begin))) is not None:
            self.count += 1
            if self.count > allowed:
                raise InvalidResponseError("too many events")
            raw = bytes(self.buffer[begin : end.end()])
            events.append(StreamEvent(raw, event_id(raw)))
            begin = end.end()
        del self.buffer[:begin]
        self._check_partial(bool(events), now)
        return events

    def _check_partial(self, is_new: bool, now: float) -> None:
        if not self.buffer:
            self.partial_since = None
            return
        if is_new or self.partial_since is None:
            self.partial_since = now
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise InvalidResponseError(f"event larger than {MAX_EVENT_BYTES} bytes")
        if now > self.partial_since + MAX_PARTIAL_SECONDS:
            raise InvalidResponseError(
                f"event incomplete after {MAX_PARTIAL_SECONDS:g} s"
            )


def event_id(raw: bytes) -> int | None:
    """Return the number in an event's id line, ``None`` without a valid one."""
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            return read_whole_number(line[3:].strip().decode("latin-1"))
    return None
