"""The bounded ring of events."""

from collections import deque

from loguru import logger

from briarthread_common.core.event import Event
from briarthread_common.utils.clock import Clock

RING_SIZE = 2000


class EventLog:
    """Keep the newest events for ``explain`` and write each to the log."""

    def __init__(self, clock: Clock, prefix: str, size: int = RING_SIZE) -> None:
        self.clock = clock
        self.prefix = prefix
        self.ring: deque[Event] = deque(maxlen=size)

    def add(self, decision: str, subject: str, reason: str, request: str = "") -> None:
        """Record a decision about a subject and log it."""
        event = Event(self.clock.now(), decision, subject, reason, request)
        self.ring.append(event)
        events_for = f" request={request}" if request else ""
        logger.info(
            "{}: {} {}{}: {}", self.prefix, decision, subject, events_for, reason
        )

    def events_for(self, subject: str) -> list[Event]:
        """Return the events about a request id or a subject, oldest first."""
        return [
            event
            for event in self.ring
            if event.request == subject or subject in event.subject.split("/")
        ]
