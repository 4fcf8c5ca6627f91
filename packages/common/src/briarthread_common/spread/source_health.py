"""Observed health of the platform."""

from dataclasses import dataclass

NEVER = float("-inf")


@dataclass(slots=True)
class SourceHealth:
    """
    Record when the platform last answered and since when it has been healthy.

    Times are in seconds of the event loop's clock.

    >>> health = SourceHealth()
    >>> health.note_success(1.0), health.note_failure(2.0), health.note_success(9.0)
    (True, True, True)
    >>> health.healthy_since
    9.0
    """

    up: bool = False
    last_success: float = NEVER
    healthy_since: float = NEVER

    def note_success(self, now: float) -> bool:
        """Record a successful call; tell whether the platform was not up before."""
        recovered = not self.up
        if recovered:
            self.healthy_since = now
        self.up = True
        self.last_success = now
        return recovered

    def note_failure(self, now: float) -> bool:
        """Record a failed call; tell whether the platform was up before."""
        lost = self.up
        self.up = False
        return lost

    def healthy_for(self, now: float) -> float:
        """Return the seconds for which the platform has been up, 0 if it is down."""
        return now - self.healthy_since if self.up else 0.0

    def age(self, now: float) -> float:
        """Return the seconds since the last success, a large number if none."""
        return min(now - self.last_success, 1e9)
