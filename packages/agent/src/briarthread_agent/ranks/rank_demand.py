"""What one rank's requests chose of late."""

import operator

from briarthread_common.placement.popularity import Popularity

HALF_LIFE_SECONDS = 0.8
"""Seconds after which a choice counts half: demand shifts every few seconds,
and some ten thousand choices are made in one."""
MAX_IDLE_HALVINGS = 2.0
"""How often choices are halved at most while the rank makes no new ones: what
was liked before an outage is the best guess of what is liked after it, and a
rank without requests must not outweigh those that have some."""
MAX_EXACT_COUNTS = 1000
"""Numbers up to which counts are told as they are, in some 4 KB."""
SCALED_MEAN_COUNT = 8
"""Mean of the counts that are told of more numbers, so that each takes two bytes;
experts in demand, with many times the mean, are still told within some hundredths."""


class RankDemand:
    """
    Turn a rank's running totals into recent choices of experts.

    A rank counts from its start, so where one total fell all are of a new start.
    A rank that chooses nothing keeps a part of what it chose before. Times are
    the runtime's seconds.

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
        """Take in the totals that the rank gives now."""
        before, self.totals = self.totals, totals
        if len(before) != len(totals):
            self.popularity = Popularity(1, len(totals), HALF_LIFE_SECONDS)
            self.popularity.updated = now
            return
        fresh = list(map(operator.sub, totals, before))
        if min(fresh, default=0) < 0:
            fresh = totals
        self._age(now, idle=not any(fresh))
        self.popularity.add(now, [fresh])

    def _age(self, now: float, idle: bool) -> None:
        """Let a long time without choices count as a short one."""
        if not idle:
            self.idle_seconds = 0.0
            return
        passed = now - self.popularity.updated
        counted = min(passed, MAX_IDLE_HALVINGS * HALF_LIFE_SECONDS - self.idle_seconds)
        self.idle_seconds += counted
        self.popularity.updated = now - counted

    def count_unit(self) -> float:
        """Return how many choices one of the recent counts stands for."""
        counts = self.popularity.counts[0]
        if len(counts) <= MAX_EXACT_COUNTS:
            return 1.0
        return max(sum(counts) / (SCALED_MEAN_COUNT * len(counts)), 1.0)

    def recent_counts(self) -> list[int]:
        """Return how often each expert was chosen of late, set by set, in units."""
        unit = self.count_unit()
        return [round(count / unit) for count in self.popularity.counts[0]]
