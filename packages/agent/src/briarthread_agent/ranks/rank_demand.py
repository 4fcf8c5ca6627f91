"""What one rank's requests chose of late."""

from briarthread_common.placement.popularity import Popularity

HALF_LIFE = 0.8
"""Seconds after which a choice counts half: demand shifts every few seconds,
and some ten thousand choices are made in one."""


class RankDemand:
    """
    Turn a rank's running totals into recent choices of experts.

    A rank counts from its start, so a total that fell is that of a new start.
    Times are the runtime's seconds.

    >>> demand = RankDemand()
    >>> demand.take(1.0, [5, 100])
    >>> demand.take(1.4, [25, 100])
    >>> demand.take(2.2, [25, 110])
    >>> demand.recent()
    [10, 10]
    """

    def __init__(self) -> None:
        self.totals: list[int] = []
        self.popularity = Popularity(1, 0, HALF_LIFE)

    def take(self, now: float, totals: list[int]) -> None:
        """Take in the totals that the rank gives now."""
        before, self.totals = self.totals, totals
        if len(before) != len(totals):
            self.popularity = Popularity(1, len(totals), HALF_LIFE)
            self.popularity.updated = now
            return
        if sum(totals) < sum(before):
            before = [0] * len(totals)
        fresh = [max(n - o, 0) for n, o in zip(totals, before, strict=True)]
        self.popularity.add(now, [fresh])

    def recent(self) -> list[int]:
        """Return how often each expert was chosen of late, set by set."""
        return [round(count) for count in self.popularity.counts[0]]
