"""Backoff of a target and the slow start after it."""

from dataclasses import dataclass

SLOW_START_LIMIT = 8
"""Number of concurrent attempts above which the slow start ends."""


@dataclass(slots=True)
class Backoff:
    """
    Limit the attempts to a target that has requested a backoff.

    No attempt may start before ``opens_at``. After that one may run at a time, and the
    limit doubles with each success, so that a recovering target is not overloaded
    again. ``until`` is the end of the backoff, ``opens_at`` that end plus jitter. Times
    are in seconds on the event loop's clock.

    >>> backoff = Backoff()
    >>> backoff.extend(until=3.0, opens_at=3.2)
    >>> backoff.free_attempts(now=3.1), backoff.free_attempts(now=3.2)
    (0, 1)
    >>> backoff.running += 1
    >>> backoff.free_attempts(now=3.3)
    0
    >>> backoff.note_success(now=3.4)
    >>> backoff.free_attempts(now=3.4)
    1
    """

    until: float = 0.0
    opens_at: float = 0.0
    allowed: int = 1
    running: int = 0

    def extend(self, until: float, opens_at: float) -> None:
        """Apply another backoff; the latest end wins."""
        self.until = max(self.until, until)
        self.opens_at = max(self.opens_at, opens_at)
        self.allowed = 1

    def note_success(self, now: float) -> None:
        """Record a response that is no failure and requests no backoff."""
        if now >= self.opens_at:
            self.allowed *= 2

    def free_attempts(self, now: float) -> int:
        """Return how many more attempts may start."""
        if now < self.opens_at:
            return 0
        return max(self.allowed - self.running, 0)

    def finished(self) -> bool:
        """Return whether the slow start is complete."""
        return self.allowed > SLOW_START_LIMIT
