"""A better placement at a bounded cost."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from briarthread_common.messages.expert_map import ExpertMap
from briarthread_common.placement.rank_loads import Layer, rank_loads

COLD_RANKS = 4
"""How many of the least loaded ranks are tried for each move."""
MIN_GAIN = 0.002
"""Part of the mean load that a move must take off the slowest rank."""


NO_EXPERT = -1


@dataclass(frozen=True, slots=True)
class Swap:
    """
    Take load off the hot rank by way of a cold one.

    The cold rank loads ``hot_expert`` in place of ``cold_expert``, or into a
    free slot if that is ``NO_EXPERT``. With ``copy`` the hot rank keeps its
    replica, else it loads ``cold_expert`` in its place.
    """

    hot_expert: int
    cold_rank: int
    cold_expert: int
    gain: float
    copy: bool

    @property
    def loads(self) -> int:
        """Return how many experts some rank has to load."""
        return 1 if self.copy else 2


def improve_map(
    version: int,
    present: ExpertMap,
    counts: list[list[float]],
    slots: int,
    max_moves: int,
) -> ExpertMap:
    """
    Return the present map with up to ``max_moves`` experts loaded anew.

    Layer by layer it takes load off the slowest rank, by a swap with a cold
    rank or by a copy in place of a replica there, as long as that gains.
    """
    left = max_moves
    layers = []
    for layer, layer_counts in zip(present.layers, counts, strict=True):
        better, used = improve_layer(layer, layer_counts, slots, left)
        left -= used
        layers.append(better)
    return ExpertMap(version, layers)


def improve_layer(
    layer: Layer,
    counts: list[float],
    slots: int,
    max_moves: int,
) -> tuple[Layer, int]:
    """Return a better layer and the number of experts to load for it."""
    better, used = layer, 0
    for step in improve_steps(layer, counts, slots, max_moves):
        better, used = step
    return better, used


def improve_steps(
    layer: Layer,
    counts: list[float],
    slots: int,
    max_moves: int,
    rank_moves: int | None = None,
) -> Iterator[tuple[Layer, int]]:
    """
    Give better layers one after the other, with the experts loaded so far.

    ``rank_moves`` bounds what a single rank loads, where its engine does.
    """
    better = [list(rank) for rank in layer]
    left = [max_moves if rank_moves is None else rank_moves] * len(layer)
    used = 0
    floor = MIN_GAIN * sum(counts) / len(layer)
    while used < max_moves:
        swap = _best_swap(better, counts, slots, left)
        if swap is None or swap.gain <= floor or used + swap.loads > max_moves:
            return
        hot = _carry_out(better, counts, swap)
        used += swap.loads
        left[swap.cold_rank] -= 1
        if not swap.copy:
            left[hot] -= 1
        yield [list(rank) for rank in better], used


def _best_swap(
    layer: Layer, counts: list[float], slots: int, left: list[int]
) -> Swap | None:
    """Return the best swap by ranks that may still load an expert."""
    view = _LayerView(layer, counts)
    order = sorted(range(len(layer)), key=lambda r: (view.loads[r], r))
    hot = order[-1]
    cold_ranks = [rank for rank in order[:-1] if left[rank] > 0]
    swaps = [
        swap
        for cold in cold_ranks[:COLD_RANKS]
        for swap in view.exchanges(hot, cold)
        if swap.copy or left[hot] > 0
    ]
    swaps.extend(
        swap
        for cold in cold_ranks
        if len(layer[cold]) < slots
        for swap in view.copies(hot, cold)
    )
    return max(swaps, key=lambda swap: swap.gain / swap.loads, default=None)


class _LayerView:
    """A layer with its loads, and what could take load off its hot rank."""

    def __init__(self, layer: Layer, counts: list[float]) -> None:
        self.layer = layer
        self.counts = counts
        self.loads = rank_loads(layer, counts)
        self.replicas = Counter(expert for rank in layer for expert in rank)

    def exchanges(self, hot: int, cold: int) -> list[Swap]:
        """Return what takes the place of an expert on the cold rank."""
        return [
            swap
            for out in self._movable(hot, cold)
            for back in self._movable(cold, hot)
            for swap in self._exchange(hot, cold, out, back)
        ]

    def copies(self, hot: int, cold: int) -> list[Swap]:
        """Return the copies into a free slot of the cold rank."""
        return [
            self._copy(hot, cold, out, NO_EXPERT) for out in self._movable(hot, cold)
        ]

    def _movable(self, source: int, other: int) -> list[int]:
        held = self.layer[other]
        return [expert for expert in self.layer[source] if expert not in held]

    def _exchange(self, hot: int, cold: int, out: int, back: int) -> list[Swap]:
        part, other = self._part(out), self._part(back)
        after = max(self.loads[hot] - part + other, self.loads[cold] + part - other)
        swaps = [Swap(out, cold, back, self.loads[hot] - after, copy=False)]
        if self.replicas[back] > 1:
            swaps.append(self._copy(hot, cold, out, back))
        return swaps

    def _copy(self, hot: int, cold: int, out: int, back: int) -> Swap:
        thinner = self.counts[out] / (self.replicas[out] + 1)
        freed = self._part(back) if back != NO_EXPERT else 0.0
        after = max(
            self.loads[hot] - self._part(out) + thinner,
            self.loads[cold] + thinner - freed,
        )
        return Swap(out, cold, back, self.loads[hot] - after, copy=True)

    def _part(self, expert: int) -> float:
        return self.counts[expert] / self.replicas[expert]


def _carry_out(layer: Layer, counts: list[float], swap: Swap) -> int:
    """Change the layer by a swap; return the hot rank."""
    loads = rank_loads(layer, counts)
    hot = max(range(len(layer)), key=lambda r: (loads[r], r))
    cold = layer[swap.cold_rank]
    if swap.cold_expert == NO_EXPERT:
        cold.append(swap.hot_expert)
        return hot
    cold[cold.index(swap.cold_expert)] = swap.hot_expert
    if not swap.copy:
        ranks = layer[hot]
        ranks[ranks.index(swap.hot_expert)] = swap.cold_expert
    return hot
