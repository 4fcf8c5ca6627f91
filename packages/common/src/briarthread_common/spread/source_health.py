"""What a process knows of the platform's health."""

from dataclasses import dataclass

NEVER = float("-inf")


@dataclass(slots=True)
class SourceHealth:
    """
    Record when the platform was heard from and since when it is well.

    Times are seconds of the runtime's clock.

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
        """Record an answer; tell whether it ends a time without."""
        regained = not self.up
        if regained:
            self.healthy_since = now
        self.up = True
        self.last_success = now
        return regained

    def note_failure(self, now: float) -> bool:
        """Record a call without a proper answer; tell if it is the first."""
        lost = self.up
        self.up = False
        return lost

    def healthy_for(self, now: float) -> float:
        """Return how long the platform has answered, 0 if it does not."""
        return now - self.healthy_since if self.up else 0.0

    def age(self, now: float) -> float:
        """Return the seconds since the last answer, a large number if none."""
        return min(now - self.last_success, 1e9)
