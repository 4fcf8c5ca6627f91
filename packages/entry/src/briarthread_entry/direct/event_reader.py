"""Splitting of a stream into whole events."""

from dataclasses import dataclass

EVENT_END = b"\n\n"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event as its bytes, with its id, ``None`` for one without."""

    raw: bytes
    id: int | None


class EventReader:
    r"""
    Collect chunks and give each event once its end is there.

    >>> reader = EventReader()
    >>> [event.id for event in reader.feed(b"id: 1\ndata: a\n\nid: 2\nda")]
    [1]
    >>> reader.incomplete
    b'id: 2\nda'
    """

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that a chunk completes."""
        *whole, self.incomplete = (self.incomplete + chunk).split(EVENT_END)
        return [StreamEvent(raw + EVENT_END, event_id(raw)) for raw in whole]


def event_id(raw: bytes) -> int | None:
    """Return the number in an event's id line."""
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
