"""Ring buffer of events."""

from collections import deque

from loguru import logger

from briarthread_common.core.event import Event
from briarthread_common.utils.clock import Clock

RING_SIZE = 2000
MAX_TEXT_CHARACTERS = 1000
"""Longest text of an event that is kept; some are of a request's head."""


class EventLog:
    """Keep the newest events for ``explain`` and log each event."""

    def __init__(self, clock: Clock, prefix: str, size: int = RING_SIZE) -> None:
        self.clock = clock
        self.prefix = prefix
        self.ring: deque[Event] = deque(maxlen=size)

    def add(self, decision: str, subject: str, reason: str, request: str = "") -> None:
        """Record a decision about a subject and log it; long texts are cut."""
        subject, reason, request = (
            text[:MAX_TEXT_CHARACTERS] for text in (subject, reason, request)
        )
        event = Event(self.clock.now(), decision, subject, reason, request)
        self.ring.append(event)
        suffix = f" request={request}" if request else ""
        logger.info("{}: {} {}{}: {}", self.prefix, decision, subject, suffix, reason)

    def events_for(self, subject: str) -> list[Event]:
        """Return the events for a request id or a subject, oldest first."""
        subject = subject[:MAX_TEXT_CHARACTERS]
        return [
            event
            for event in self.ring
            if event.request == subject or subject in event.subject.split("/")
        ]
