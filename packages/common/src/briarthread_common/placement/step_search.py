"""Search for the step that takes the most load off a layer's slowest rank."""

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
"""Number of least loaded ranks tried for swaps. With more, the search takes longer
and hardly finds better steps."""
FREE_SLOT_CANDIDATE_RANKS = 6
"""Number of least loaded ranks with a free slot that are tried. The first one is the
best unless it already holds the expert or is slow. With 129 ranks, trying all took
most of the search time."""
FREE_STEP_COST = 0.5
"""Cost of a step that loads nothing, in experts loaded, so that steps can be
compared by gain per expert loaded."""

Candidate = tuple[float, PlacementStep]
"""The highest load left on the ranks that a step affects, and the step."""


class StepSearch:
    """
    Find the next step for a plan.

    ``slots`` is the maximum number of experts that a rank holds, ``loads_left`` the
    number that each rank may still load.

    >>> plan = LayerPlan([[0, 1], [2, 3]], [90.0, 90.0, 5.0, 5.0], [1.0, 1.0])
    >>> StepSearch(plan, slots=3, loads_left=[3, 3]).best()
    (80.0, MoveReplica(expert=0, source=0, rank=1))
    """

    def __init__(self, plan: LayerPlan, slots: int, loads_left: list[int]) -> None:
        self.plan = plan
        self.slots = slots
        self.loads_left = loads_left
        loads = plan.loads()
        self.order = sorted(range(len(loads)), key=lambda rank: (loads[rank], rank))
        self.slowest = self.order[-1]
        self.slowest_load = loads[self.slowest]

    def best(self) -> tuple[float, PlacementStep] | None:
        """Return the gain and the step with the highest gain per expert loaded."""
        scored = [self._score(load, step) for load, step in self._candidates()]
        if not scored:
            return None
        _, gain, step = max(scored, key=lambda candidate: candidate[0])
        return gain, step

    def _score(
        self, load: float, step: PlacementStep
    ) -> tuple[float, float, PlacementStep]:
        gain = self.slowest_load - load
        return gain / (load_count(step) or FREE_STEP_COST), gain, step

    def _candidates(self) -> Iterator[Candidate]:
        """Yield the steps of each kind for the ranks that are tried."""
        receivers = [rank for rank in self.order[:-1] if self.loads_left[rank] > 0]
        for expert in self.plan.layer[self.slowest]:
            if len(self.plan.holders[expert]) > 1:
                yield self._drop(expert)
        free = (rank for rank in receivers if len(self.plan.layer[rank]) < self.slots)
        for rank in islice(free, FREE_SLOT_CANDIDATE_RANKS):
            yield from self._into_free_slot(rank)
        for rank in receivers[:SWAP_CANDIDATE_RANKS]:
            yield from self._into_used_slot(rank)

    def _drop(self, expert: int) -> Candidate:
        plan = self.plan
        holders = [rank for rank in plan.holders[expert] if rank != self.slowest]
        added = plan.counts[expert] / len(holders) - plan.replica_tokens(expert)
        slowest = (
            plan.rank_tokens[self.slowest] - plan.replica_tokens(expert)
        ) * plan.slowdown[self.slowest]
        others = ((plan.rank_tokens[r] + added) * plan.slowdown[r] for r in holders)
        return max(slowest, *others), DropReplica(expert, self.slowest)

    def _into_free_slot(self, rank: int) -> Iterator[Candidate]:
        plan = self.plan
        for expert in self._movable(self.slowest, rank):
            tokens = plan.replica_tokens(expert)
            shared = plan.counts[expert] / (len(plan.holders[expert]) + 1)
            yield (
                self._max_load_after(rank, tokens - shared, shared),
                AddReplica(expert, self.slowest, rank, None),
            )
            yield (
                self._max_load_after(rank, tokens, tokens),
                MoveReplica(expert, self.slowest, rank),
            )

    def _into_used_slot(self, rank: int) -> Iterator[Candidate]:
        plan = self.plan
        replaceable = [
            (e, plan.replica_tokens(e)) for e in self._movable(rank, self.slowest)
        ]
        may_swap = self.loads_left[self.slowest] > 0
        for expert in self._movable(self.slowest, rank):
            tokens = plan.replica_tokens(expert)
            shared = plan.counts[expert] / (len(plan.holders[expert]) + 1)
            for other, freed in replaceable:
                if may_swap:
                    load = self._max_load_after(rank, tokens - freed, tokens - freed)
                    yield load, SwapReplicas(expert, self.slowest, rank, other)
                if len(plan.holders[other]) > 1:
                    load = self._max_load_after(rank, tokens - shared, shared - freed)
                    yield load, AddReplica(expert, self.slowest, rank, other)

    def _max_load_after(self, rank: int, taken: float, given: float) -> float:
        """Return the higher load of the slowest and the given rank after a step."""
        plan = self.plan
        slowest = (plan.rank_tokens[self.slowest] - taken) * plan.slowdown[self.slowest]
        receiver = (plan.rank_tokens[rank] + given) * plan.slowdown[rank]
        return max(slowest, receiver)

    def _movable(self, source: int, other: int) -> list[int]:
        """Return the experts of one rank that another one does not hold."""
        held = self.plan.layer[other]
        return [expert for expert in self.plan.layer[source] if expert not in held]
