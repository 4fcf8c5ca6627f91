"""Events whose texts come from clients."""

from unittest import mock

from briarthread_common.core.event_log import MAX_TEXT_CHARACTERS, EventLog

LONG = "a" * 20_000


def test_texts_of_events_are_bounded() -> None:
    """Guards against heads of refused requests that fill the ring of events."""
    events = EventLog(mock.Mock(now=lambda: 0.0), "entry")
    events.add("request-refused", f"/{LONG}", f"no route for host {LONG}", LONG)
    (event,) = events.ring
    texts = (event.subject, event.reason, event.request)
    assert all(len(text) <= MAX_TEXT_CHARACTERS for text in texts)
    assert events.events_for(LONG) == [event]
