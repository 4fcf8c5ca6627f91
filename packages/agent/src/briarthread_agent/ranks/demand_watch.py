"""What a group's ranks chose of late, and how long its passes are."""

from briarthread_agent.ranks.group_view import GroupView
from briarthread_common.direct.expert_figures import ExpertFigures
from briarthread_common.placement.popularity import Popularity

HALF_LIFE = 0.8
"""Seconds after which a choice counts half: demand shifts every few seconds,
and some ten thousand choices are made in one."""
LEAST_PASSES = 2
"""Passes between two looks under which their length says nothing."""


class DemandWatch:
    """
    Turn the ranks' running totals into recent popularity.

    A rank counts from its start, so a total that fell is that of a new start.
    """

    def __init__(self, figures: ExpertFigures) -> None:
        self.figures = figures
        self.popularity = Popularity(figures.sets, figures.experts, HALF_LIFE)
        self.totals: dict[int, list[int]] = {}
        self.last: tuple[int, int, float] | None = None

    def observe(self, view: GroupView, now: float) -> float | None:
        """
        Take in the counts of a view; return the mean pass since the last one.

        Return ``None`` when there was no other view of the same forming of
        the group, or the group made next to no passes since.
        """
        fresh = [0] * (self.figures.sets * self.figures.experts)
        known = bool(self.totals)
        for member in view.members:
            self._add(member.state.rank, member.answer.counts, fresh)
        if known:
            self.popularity.add(now, self._by_set(fresh))
        else:
            self.popularity.updated = now
        last, self.last = self.last, (view.epoch, view.step, now)
        if last is None or last[0] != view.epoch or not known:
            return None
        passes = view.step - last[1]
        return (now - last[2]) / passes if passes >= LEAST_PASSES else None

    def _add(self, rank: int, counts: list[int], fresh: list[int]) -> None:
        before = self.totals.get(rank)
        self.totals[rank] = counts
        if before is None:
            return
        if sum(counts) < sum(before):
            before = [0] * len(counts)
        for number, (new, old) in enumerate(zip(counts, before, strict=True)):
            fresh[number] += max(new - old, 0)

    def _by_set(self, flat: list[int]) -> list[list[int]]:
        size = self.figures.experts
        return [
            flat[number * size : (number + 1) * size]
            for number in range(self.figures.sets)
        ]
