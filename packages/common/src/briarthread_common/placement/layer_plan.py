"""A placement of one layer that is being changed."""

from collections.abc import Sequence

from briarthread_common.placement.layer_step import Copy, Drop, Exchange, Move, Step
from briarthread_common.placement.rank_loads import Layer


class LayerPlan:
    """
    Hold a placement with the work of its ranks, kept up to date step by step.

    ``work`` is the tokens that go to each rank; ``slowdown`` is how many times
    longer a rank takes for them than others, so that a rank's load is the
    product of both.

    >>> plan = LayerPlan([[0, 1], [2]], [6.0, 2.0, 4.0], [1.0, 2.0])
    >>> plan.loads()
    [8.0, 8.0]
    >>> plan.carry_out(Copy(expert=0, source=0, rank=1, replaced=None))
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
        self.work = [
            sum(self.part(expert) for expert in experts) for experts in self.layer
        ]

    def part(self, expert: int) -> float:
        """Return the tokens that go to each replica of an expert."""
        return self.counts[expert] / len(self.holders[expert])

    def load(self, rank: int) -> float:
        """Return the load of a rank."""
        return self.work[rank] * self.slowdown[rank]

    def loads(self) -> list[float]:
        """Return the load of each rank."""
        return [self.load(rank) for rank in range(len(self.layer))]

    def copy(self) -> Layer:
        """Return the placement as it is now."""
        return [list(rank) for rank in self.layer]

    def carry_out(self, step: Step) -> None:
        """Change the placement by one step."""
        match step:
            case Drop(expert, rank):
                self._remove(expert, rank)
            case Move(expert, source, rank):
                self._add(expert, rank)
                self._remove(expert, source)
            case Copy(expert, _, rank, replaced):
                if replaced is not None:
                    self._remove(replaced, rank)
                self._add(expert, rank)
            case Exchange(expert, source, rank, returned):
                self._add(expert, rank)
                self._add(returned, source)
                self._remove(expert, source)
                self._remove(returned, rank)

    def _add(self, expert: int, rank: int) -> None:
        self.layer[rank].append(expert)
        self._share_out(expert, [*self.holders[expert], rank])

    def _remove(self, expert: int, rank: int) -> None:
        self.layer[rank].remove(expert)
        self._share_out(expert, [r for r in self.holders[expert] if r != rank])

    def _share_out(self, expert: int, holders: list[int]) -> None:
        before = self.part(expert)
        for rank in self.holders[expert]:
            self.work[rank] -= before
        self.holders[expert] = holders
        after = self.part(expert)
        for rank in holders:
            self.work[rank] += after
