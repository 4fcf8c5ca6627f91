"""The experts that one rank's requests chose recently."""

import operator

from briarthread_common.placement.popularity import Popularity

HALF_LIFE_SECONDS = 0.8
"""
Time after which the weight of a choice has halved.

Demand shifts every few seconds, and about ten thousand choices are made per second.
"""
MAX_IDLE_HALVINGS = 2.0
"""
Maximum number of times that counts are halved while the rank makes no choices.

The demand before an outage is the best estimate of the demand after it, but a rank
without requests must not outweigh ranks that have some.
"""
MAX_EXACT_COUNTS = 1000
"""Number of counts up to which they are reported exactly, in about 4 KB."""
SCALED_MEAN_COUNT = 8
"""
Mean to which counts are scaled if there are more of them.

Each count then takes two bytes. Popular experts, with many times the mean, are still
reported with an error of a few hundredths.
"""


class RankDemand:
    """
    Convert a rank's running totals into recent counts of expert choices.

    A rank counts from its start, so if any total has decreased, the rank has
    restarted. A rank that makes no choices keeps a part of its earlier counts. Times
    are in seconds of the event loop's clock.

    >>> demand = RankDemand()
    >>> demand.update(1.0, [5, 100])
    >>> demand.update(1.4, [25, 100])
    >>> demand.update(2.2, [25, 110])
    >>> demand.recent_counts()
    [10, 10]
    >>> demand.update(62.2, [25, 110])
    >>> demand.recent_counts()
    [2, 2]
    """

    def __init__(self) -> None:
        self.totals: list[int] = []
        self.popularity = Popularity(1, 0, HALF_LIFE_SECONDS)
        self.idle_seconds = 0.0

    def update(self, now: float, totals: list[int]) -> None:
        """Update the counts from the rank's current totals."""
        previous, self.totals = self.totals, totals
        if len(previous) != len(totals):
            self.popularity = Popularity(1, len(totals), HALF_LIFE_SECONDS)
            self.popularity.updated = now
            return
        new_counts = list(map(operator.sub, totals, previous))
        if min(new_counts, default=0) < 0:
            new_counts = totals
        self._limit_decay(now, idle=not any(new_counts))
        self.popularity.add(now, [new_counts])

    def _limit_decay(self, now: float, idle: bool) -> None:
        """Limit the decay of the counts during a long time without choices."""
        if not idle:
            self.idle_seconds = 0.0
            return
        elapsed = now - self.popularity.updated
        decay_seconds = min(
            elapsed, MAX_IDLE_HALVINGS * HALF_LIFE_SECONDS - self.idle_seconds
        )
        self.idle_seconds += decay_seconds
        self.popularity.updated = now - decay_seconds

    def count_unit(self) -> float:
        """Return the number of choices that one count unit stands for."""
        counts = self.popularity.counts[0]
        if len(counts) <= MAX_EXACT_COUNTS:
            return 1.0
        return max(sum(counts) / (SCALED_MEAN_COUNT * len(counts)), 1.0)

    def recent_counts(self) -> list[int]:
        """Return the recent count of each expert, set by set, in count units."""
        unit = self.count_unit()
        return [round(count / unit) for count in self.popularity.counts[0]]
