"""The search for the step that takes most load off a layer's slowest rank."""

from collections.abc import Iterator
from itertools import islice

from briarthread_common.placement.layer_plan import LayerPlan
from briarthread_common.placement.layer_step import (
    AddReplica,
    DropReplica,
    MoveReplica,
    PlacementStep,
    SwapReplicas,
    load_count,
)

SWAP_CANDIDATE_RANKS = 4
"""How many of the least loaded ranks are tried for exchanges; with more, a
search takes longer and finds hardly better ones."""
FREE_SLOT_CANDIDATE_RANKS = 6
"""How many of the least loaded ranks with a free place are tried for it: the first
is the best one but for experts that it holds already or for being slow, and before
129 ranks trying all took most of a search."""
FREE_STEP_COST = 0.5
"""What a step that loads nothing counts as, in experts loaded, so that steps
can be compared by their gain for each expert."""

Candidate = tuple[float, PlacementStep]
"""A step with the load that is left on the ranks that it concerns."""


class StepSearch:
    """
    Find the next step for a plan.

    ``slots`` is how many experts a rank holds at most, and ``left`` how many
    each rank may still load.

    >>> plan = LayerPlan([[0, 1], [2, 3]], [90.0, 90.0, 5.0, 5.0], [1.0, 1.0])
    >>> StepSearch(plan, slots=3, left=[3, 3]).best()
    (80.0, MoveReplica(expert=0, source=0, rank=1))
    """

    def __init__(self, plan: LayerPlan, slots: int, left: list[int]) -> None:
        self.plan = plan
        self.slots = slots
        self.left = left
        loads = plan.loads()
        self.order = sorted(range(len(loads)), key=lambda rank: (loads[rank], rank))
        self.hot = self.order[-1]
        self.before = loads[self.hot]

    def best(self) -> tuple[float, PlacementStep] | None:
        """Return the step with most gain for each expert loaded, and the gain."""
        found = [self._valued(left, step) for left, step in self._all()]
        if not found:
            return None
        _, gain, step = max(found, key=lambda valued: valued[0])
        return gain, step

    def _valued(
        self, load: float, step: PlacementStep
    ) -> tuple[float, float, PlacementStep]:
        gain = self.before - load
        return gain / (load_count(step) or FREE_STEP_COST), gain, step

    def _all(self) -> Iterator[Candidate]:
        """Give the best step of each kind for each rank that can take part."""
        cold = [rank for rank in self.order[:-1] if self.left[rank] > 0]
        for expert in self.plan.layer[self.hot]:
            if len(self.plan.holders[expert]) > 1:
                yield self._drop(expert)
        free = (rank for rank in cold if len(self.plan.layer[rank]) < self.slots)
        for rank in islice(free, FREE_SLOT_CANDIDATE_RANKS):
            yield from self._into_free_place(rank)
        for rank in cold[:SWAP_CANDIDATE_RANKS]:
            yield from self._in_place_of_others(rank)

    def _drop(self, expert: int) -> Candidate:
        plan = self.plan
        holders = [rank for rank in plan.holders[expert] if rank != self.hot]
        more = plan.counts[expert] / len(holders) - plan.replica_tokens(expert)
        hot = (
            plan.rank_tokens[self.hot] - plan.replica_tokens(expert)
        ) * plan.slowdown[self.hot]
        others = ((plan.rank_tokens[r] + more) * plan.slowdown[r] for r in holders)
        return max(hot, *others), DropReplica(expert, self.hot)

    def _into_free_place(self, rank: int) -> Iterator[Candidate]:
        plan = self.plan
        for expert in self._movable(self.hot, rank):
            part = plan.replica_tokens(expert)
            thinner = plan.counts[expert] / (len(plan.holders[expert]) + 1)
            yield (
                self._after(rank, part - thinner, thinner),
                AddReplica(expert, self.hot, rank, None),
            )
            yield self._after(rank, part, part), MoveReplica(expert, self.hot, rank)

    def _in_place_of_others(self, rank: int) -> Iterator[Candidate]:
        plan = self.plan
        returnable = [
            (e, plan.replica_tokens(e)) for e in self._movable(rank, self.hot)
        ]
        may_return = self.left[self.hot] > 0
        for expert in self._movable(self.hot, rank):
            part = plan.replica_tokens(expert)
            thinner = plan.counts[expert] / (len(plan.holders[expert]) + 1)
            for other, freed in returnable:
                if may_return:
                    after = self._after(rank, part - freed, part - freed)
                    yield after, SwapReplicas(expert, self.hot, rank, other)
                if len(plan.holders[other]) > 1:
                    after = self._after(rank, part - thinner, thinner - freed)
                    yield after, AddReplica(expert, self.hot, rank, other)

    def _after(self, rank: int, taken: float, given: float) -> float:
        """Return the higher load of the two ranks after work went over."""
        plan = self.plan
        hot = (plan.rank_tokens[self.hot] - taken) * plan.slowdown[self.hot]
        cold = (plan.rank_tokens[rank] + given) * plan.slowdown[rank]
        return max(hot, cold)

    def _movable(self, source: int, other: int) -> list[int]:
        held = self.plan.layer[other]
        return [expert for expert in self.plan.layer[source] if expert not in held]
