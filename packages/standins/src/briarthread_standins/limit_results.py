"""What limited targets and their callers got."""

from collections import Counter
from dataclasses import dataclass, field

from briarthread_standins.refusals import Refusals

WINDOW_SECONDS = 4.0
"""Time over which a target's arrivals are counted."""


@dataclass(slots=True)
class LimitResults:
    """
    Hold the times of arrivals at each target, and what callers got.

    ``statuses`` counts answers, ``waits`` holds the pauses that refused callers were
    told, and ``slowest_refusal`` how long one of them waited for it, all in seconds.
    """

    arrivals: list[list[float]] = field(default_factory=list)
    refusals: list[Refusals] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    retry_after_seconds: list[float] = field(default_factory=list)
    slowest_refusal: float = 0.0
    bytes_sent: int = 0

    def max_arrivals(
        self, target: int, since: float, until: float = float("inf")
    ) -> int:
        """Return the most arrivals of a target in any window between two times."""
        times = [at for at in sorted(self.arrivals[target]) if since <= at < until]
        return max(
            (
                sum(start <= at < start + WINDOW_SECONDS for at in times)
                for start in times
            ),
            default=0,
        )

    def max_early_requests(self) -> int:
        """Return the most requests that an entry sent to a target within a backoff."""
        return max(refusals.max_early_requests() for refusals in self.refusals)

    def arrivals_per_second(self, target: int, since: float, until: float) -> float:
        """Return what a target got a second between two times."""
        got = sum(since <= at < until for at in self.arrivals[target])
        return got / (until - since)


def max_allowed_arrivals(limit: float) -> float:
    """
    Return how many requests a target that names a limit may get in a window.

    >>> max_allowed_arrivals(1.0), max_allowed_arrivals(2.5)
    (11.0, 20.0)
    """
    return 1.5 * limit * WINDOW_SECONDS + 5
