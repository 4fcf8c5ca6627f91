"""Events of a stream in any pieces, and streams that hold none."""

import pytest

from briarthread_common.core.exceptions import InvalidResponseError
from briarthread_common.http.response_bounds import MAX_PARTIAL_SECONDS
from briarthread_entry.direct.responses.event_reader import (
    EVENT_BURST,
    MAX_EVENT_BYTES,
    EventReader,
)

EVENTS = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7, len(EVENTS)])
def test_events_come_out_whole_whatever_the_pieces(size: int) -> None:
    """Guards against events with CR LF that are not recognised."""
    reader = EventReader()
    found = [
        event
        for begin in range(0, len(EVENTS), size)
        for event in reader.feed(EVENTS[begin : begin + size], now=0.0)
    ]
    assert [event.id for event in found] == [1, 2, 3]
    assert b"".join(event.raw for event in found) == EVENTS
    assert not reader.incomplete


def test_event_that_never_ends_is_given_up_by_its_size() -> None:
    reader = EventReader()
    reader.feed(b"x" * MAX_EVENT_BYTES, now=0.0)
    with pytest.raises(InvalidResponseError):
        reader.feed(b"x", now=0.0)


def test_event_that_goes_on_arriving_is_given_up() -> None:
    reader = EventReader()
    reader.feed(b"id: 1\n\nid: 2", now=1.0)
    reader.feed(b"\ndata", now=1.0 + MAX_PARTIAL_SECONDS)
    with pytest.raises(InvalidResponseError):
        reader.feed(b": x", now=1.1 + MAX_PARTIAL_SECONDS)


def test_event_that_comes_whole_after_a_silence_is_kept() -> None:
    """Guards against ending the stream of a target that was suspended."""
    reader = EventReader()
    reader.feed(b"id: 1\nda", now=1.0)
    events = reader.feed(b"ta: x\n\nid: 2", now=10.0)
    assert [event.id for event in events] == [1]


def test_events_without_number_are_given_up_at_any_size() -> None:
    reader = EventReader()
    with pytest.raises(InvalidResponseError):
        reader.feed(b"\n\n" * (EVENT_BURST + 1), now=0.0)


@pytest.mark.parametrize("value", [b"9" * 5000, b"-1", b"x", b"\xb2", b"\xff", b""])
def test_id_that_cannot_be_read_is_none(value: bytes) -> None:
    """Guards against an id whose digits the interpreter refuses to convert."""
    events = EventReader().feed(b"id: " + value + b"\ndata: a\n\n", now=0.0)
    assert [event.id for event in events] == [None]
