"""Recent expert demand and pass duration of a group."""

from briarthread_agent.ranks.group_view import GroupView
from briarthread_agent.ranks.rank_demand import HALF_LIFE_SECONDS
from briarthread_common.direct.expert_layout import ExpertLayout
from briarthread_common.messages.rank_messages import RankAnswer

MAX_ANSWER_AGE_SECONDS = 6 * HALF_LIFE_SECONDS
"""
Maximum age of an answer relative to the newest one.

The age is not measured from the current time: after a long outage of a group all
answers are old, and the newest ones are still the best estimate.
"""
MIN_PASSES = 2
"""Number of passes between two polls below which their mean is not meaningful."""


class DemandTracker:
    """
    Merge the recent expert counts of ranks into the demand of their group.

    In a large group only some ranks are asked in each poll. The earlier answers of
    the others keep counting, with a weight that decays with their age.
    """

    def __init__(self, layout: ExpertLayout) -> None:
        self.layout = layout
        self.answers: dict[int, tuple[float, RankAnswer]] = {}
        self.last_sample: tuple[int, int, float] | None = None

    def observe(self, view: GroupView, now: float) -> float | None:
        """
        Record the counts of a view; return the mean pass duration since the last one.

        Return ``None`` if there is no earlier view of the same epoch, or if the group
        has made fewer than ``MIN_PASSES`` passes since.
        """
        size = self.layout.sets * self.layout.experts
        for member in view.members:
            if len(member.answer.counts) == size:
                self.answers[member.state.rank] = (now, member.answer)
        last, self.last_sample = self.last_sample, (view.epoch, view.step, now)
        if last is None or last[0] != view.epoch:
            return None
        passes = view.step - last[1]
        return (now - last[2]) / passes if passes >= MIN_PASSES else None

    def demand(self, now: float) -> list[list[float]]:
        """Return the demand for each expert of each set."""
        experts = self.layout.experts
        totals = [0.0] * (self.layout.sets * experts)
        newest = max(
            (answered_at for answered_at, _ in self.answers.values()), default=now
        )
        for answered_at, answer in self.answers.values():
            if newest - answered_at > MAX_ANSWER_AGE_SECONDS:
                continue
            weight = answer.count_unit * 0.5 ** (
                (now - answered_at) / HALF_LIFE_SECONDS
            )
            for number, count in enumerate(answer.counts):
                totals[number] += count * weight
        return [
            totals[n * experts : (n + 1) * experts] for n in range(self.layout.sets)
        ]
