"""What a placement means for the ranks."""

from collections import Counter
from collections.abc import Sequence

from briarthread_common.messages.expert_map import ExpertMap

Layer = list[list[int]]


def rank_loads(layer: Layer, counts: list[float]) -> list[float]:
    """
    Return the load of each rank in one layer.

    Replicas of an expert share its tokens evenly.

    >>> rank_loads([[0, 1], [1]], [2.0, 6.0])
    [5.0, 3.0]
    """
    replicas = Counter(expert for rank in layer for expert in rank)
    return [sum(counts[e] / replicas[e] for e in rank) for rank in layer]


def slowest_load(
    layer: Layer, counts: list[float], slowdown: Sequence[float] = ()
) -> float:
    """
    Return the load of the rank that all others of a layer wait for.

    ``slowdown`` is how many times longer each rank takes for a token; left
    out, all take the same time.

    >>> slowest_load([[0, 1], [1]], [2.0, 6.0], [1.0, 2.0])
    6.0
    """
    loads = rank_loads(layer, counts)
    if not slowdown:
        return max(loads)
    return max(work * times for work, times in zip(loads, slowdown, strict=True))


def map_skew(expert_map: ExpertMap, counts: list[list[float]]) -> float:
    """
    Return the time of a step over that of an even one.

    Each layer lasts as long as its slowest rank; 1 is the least.
    """
    slowest = 0.0
    even = 0.0
    for layer, layer_counts in zip(expert_map.layers, counts, strict=True):
        loads = rank_loads(layer, layer_counts)
        slowest += max(loads)
        even += sum(loads) / len(loads)
    return slowest / even if even else 1.0


def moved_experts(old: ExpertMap, new: ExpertMap) -> int:
    """Return how many experts some rank has to load for the new map."""
    return sum(
        len(set(new_rank) - set(old_rank))
        for old_layer, new_layer in zip(old.layers, new.layers, strict=True)
        for old_rank, new_rank in zip(old_layer, new_layer, strict=True)
    )
