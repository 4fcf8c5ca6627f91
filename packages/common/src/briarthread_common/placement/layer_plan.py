"""A placement of one layer that is being changed."""

from collections.abc import Sequence

from briarthread_common.placement.layer_step import (
    AddReplica,
    DropReplica,
    MoveReplica,
    PlacementStep,
    SwapReplicas,
)
from briarthread_common.placement.rank_loads import Layer


class LayerPlan:
    """
    Hold a placement with the work of its ranks, kept up to date step by step.

    ``rank_tokens`` is the tokens that go to each rank; ``slowdown`` is how many times
    longer a rank takes for them than others, so that a rank's load is the
    product of both.

    >>> plan = LayerPlan([[0, 1], [2]], [6.0, 2.0, 4.0], [1.0, 2.0])
    >>> plan.loads()
    [8.0, 8.0]
    >>> plan.apply(AddReplica(expert=0, source=0, rank=1, replaced=None))
    >>> plan.layer, plan.loads()
    ([[0, 1], [2, 0]], [5.0, 14.0])
    """

    def __init__(
        self, layer: Layer, counts: list[float], slowdown: Sequence[float]
    ) -> None:
        self.layer = [list(rank) for rank in layer]
        self.counts = counts
        self.slowdown = slowdown
        self.holders: list[list[int]] = [[] for _ in counts]
        for rank, experts in enumerate(self.layer):
            for expert in experts:
                self.holders[expert].append(rank)
        self.rank_tokens = [
            sum(self.replica_tokens(expert) for expert in experts)
            for experts in self.layer
        ]

    def replica_tokens(self, expert: int) -> float:
        """Return the tokens that go to each replica of an expert."""
        return self.counts[expert] / len(self.holders[expert])

    def load(self, rank: int) -> float:
        """Return the load of a rank."""
        return self.rank_tokens[rank] * self.slowdown[rank]

    def loads(self) -> list[float]:
        """Return the load of each rank."""
        return [self.load(rank) for rank in range(len(self.layer))]

    def snapshot(self) -> Layer:
        """Return the placement as it is now."""
        return [list(rank) for rank in self.layer]

    def apply(self, step: PlacementStep) -> None:
        """Change the placement by one step."""
        match step:
            case DropReplica(expert, rank):
                self._remove(expert, rank)
            case MoveReplica(expert, source, rank):
                self._add(expert, rank)
                self._remove(expert, source)
            case AddReplica(expert, _, rank, replaced):
                if replaced is not None:
                    self._remove(replaced, rank)
                self._add(expert, rank)
            case SwapReplicas(expert, source, rank, returned):
                self._add(expert, rank)
                self._add(returned, source)
                self._remove(expert, source)
                self._remove(returned, rank)

    def _add(self, expert: int, rank: int) -> None:
        self.layer[rank].append(expert)
        self._set_holders(expert, [*self.holders[expert], rank])

    def _remove(self, expert: int, rank: int) -> None:
        self.layer[rank].remove(expert)
        self._set_holders(expert, [r for r in self.holders[expert] if r != rank])

    def _set_holders(self, expert: int, holders: list[int]) -> None:
        before = self.replica_tokens(expert)
        for rank in self.holders[expert]:
            self.rank_tokens[rank] -= before
        self.holders[expert] = holders
        after = self.replica_tokens(expert)
        for rank in holders:
            self.rank_tokens[rank] += after
