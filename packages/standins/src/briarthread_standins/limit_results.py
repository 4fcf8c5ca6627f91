"""Results of a load on targets that change while it lasts."""

import math
from collections import Counter
from dataclasses import dataclass, field

from briarthread_standins.direct_world import DirectResponse
from briarthread_standins.refusals import Refusals

WINDOW_SECONDS = 4.0
"""Length of the window in which a target's arrivals are counted, in seconds."""


@dataclass(slots=True)
class LimitResults:
    """
    Times of arrivals at each target, and responses to callers.

    ``statuses`` counts responses by status, 0 for incomplete ones;
    ``retry_after_seconds`` holds the Retry-After values of refusals, and
    ``slowest_refusal`` is the longest time to a refusal, in seconds. ``durations``
    holds the seconds to each complete response that is not a refusal, and
    ``served_by`` counts these responses by the target's name.
    """

    arrivals: list[list[float]] = field(default_factory=list)
    refusals: list[Refusals] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    retry_after_seconds: list[float] = field(default_factory=list)
    slowest_refusal: float = 0.0
    bytes_sent: int = 0
    durations: list[float] = field(default_factory=list)
    served_by: Counter[str] = field(default_factory=Counter)

    def note_response(self, response: DirectResponse, seconds: float) -> None:
        """Record what a caller got after a time."""
        self.statuses[response.status if response.complete else 0] += 1
        if response.status == 503:
            self.retry_after_seconds.append(float(response.headers["retry-after"]))
            self.slowest_refusal = max(self.slowest_refusal, seconds)
        elif response.status == 200 and response.complete:
            self.durations.append(seconds)
            self.served_by[response.body.decode()] += 1

    def late(self, objective: float) -> int:
        """Return how many responses came after more than ``objective`` seconds."""
        return sum(seconds > objective for seconds in self.durations)

    def failed(self) -> int:
        """Return how many requests got no complete response of a target."""
        return sum(self.statuses.values()) - len(self.durations)

    def mean_seconds(self) -> float:
        """Return the mean duration of the responses."""
        return sum(self.durations) / len(self.durations)

    def percentile_seconds(self, share: float) -> float:
        """Return the duration that a share of the responses does not exceed."""
        return sorted(self.durations)[math.ceil(share * len(self.durations)) - 1]

    def max_arrivals(
        self, target: int, since: float, until: float = float("inf")
    ) -> int:
        """Return the largest number of arrivals in any window between two times."""
        times = [at for at in sorted(self.arrivals[target]) if since <= at < until]
        return max(
            (
                sum(start <= at < start + WINDOW_SECONDS for at in times)
                for start in times
            ),
            default=0,
        )

    def max_early_requests(self) -> int:
        """Return the most requests that an entry sent to a target during a backoff."""
        return max(refusals.max_early_requests() for refusals in self.refusals)

    def arrivals_per_second(self, target: int, since: float, until: float) -> float:
        """Return the mean rate of arrivals at a target between two times."""
        count = sum(since <= at < until for at in self.arrivals[target])
        return count / (until - since)


def max_allowed_arrivals(limit: float) -> float:
    """
    Return how many requests a target with a limit may receive in a window.

    >>> max_allowed_arrivals(1.0), max_allowed_arrivals(2.5)
    (11.0, 20.0)
    """
    return 1.5 * limit * WINDOW_SECONDS + 5
