"""What a group's ranks chose of late, and how long its passes are."""

from briarthread_agent.ranks.group_view import GroupView
from briarthread_agent.ranks.rank_demand import HALF_LIFE
from briarthread_common.direct.expert_layout import ExpertLayout
from briarthread_common.messages.rank_messages import RankAnswer

FORGOTTEN_SECONDS = 6 * HALF_LIFE
"""How much older than the newest word one may be to count at all; of a group that
was away for long, all words are old and the newest still are the best guess."""
LEAST_PASSES = 2
"""Passes between two looks under which their length says nothing."""


class DemandWatch:
    """
    Join what ranks say of their recent choices into the group's demand.

    Of a large group only some ranks are asked at each look; what the others
    said before counts on, less with its age.
    """

    def __init__(self, figures: ExpertLayout) -> None:
        self.figures = figures
        self.said: dict[int, tuple[float, RankAnswer]] = {}
        self.last: tuple[int, int, float] | None = None

    def observe(self, view: GroupView, now: float) -> float | None:
        """
        Take in what a view says; return the mean pass since the last one.

        Return ``None`` when there was no other view of the same forming of
        the group, or the group made next to no passes since.
        """
        size = self.figures.sets * self.figures.experts
        for member in view.members:
            if len(member.answer.counts) == size:
                self.said[member.state.rank] = (now, member.answer)
        last, self.last = self.last, (view.epoch, view.step, now)
        if last is None or last[0] != view.epoch:
            return None
        passes = view.step - last[1]
        return (now - last[2]) / passes if passes >= LEAST_PASSES else None

    def demand(self, now: float) -> list[list[float]]:
        """Return how much each expert of each set is in demand."""
        experts = self.figures.experts
        flat = [0.0] * (self.figures.sets * experts)
        newest = max((at for at, _ in self.said.values()), default=now)
        for at, answer in self.said.values():
            if newest - at > FORGOTTEN_SECONDS:
                continue
            weight = answer.count_unit * 0.5 ** ((now - at) / HALF_LIFE)
            for number, count in enumerate(answer.counts):
                flat[number] += count * weight
        return [flat[n * experts : (n + 1) * experts] for n in range(self.figures.sets)]
