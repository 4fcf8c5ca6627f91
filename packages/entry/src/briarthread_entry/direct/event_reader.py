"""Parser that splits a stream into complete events."""

from dataclasses import dataclass

EVENT_END = b"\n\n"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of an event and its id, ``None`` for an event without one."""

    raw: bytes
    id: int | None


class EventReader:
    r"""
    Buffer chunks and return each event once it is complete.

    >>> reader = EventReader()
    >>> [event.id for event in reader.feed(b"id: 1\ndata: a\n\nid: 2\nda")]
    [1]
    >>> reader.incomplete
    b'id: 2\nda'
    """

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that are complete with this chunk."""
        *complete, self.incomplete = (self.incomplete + chunk).split(EVENT_END)
        return [StreamEvent(raw + EVENT_END, event_id(raw)) for raw in complete]


def event_id(raw: bytes) -> int | None:
    """Return the number in an event's id line, ``None`` without a valid one."""
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
