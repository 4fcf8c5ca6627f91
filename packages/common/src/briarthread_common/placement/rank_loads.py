"""Load of the ranks under a placement."""

from collections import Counter
from collections.abc import Sequence

from briarthread_common.messages.expert_map import ExpertMap

Layer = list[list[int]]
"""The experts of each rank in one layer."""


def rank_loads(layer: Layer, counts: list[float]) -> list[float]:
    """
    Return the load of each rank in one layer.

    The tokens of an expert are divided evenly among its replicas.

    >>> rank_loads([[0, 1], [1]], [2.0, 6.0])
    [5.0, 3.0]
    """
    replicas = Counter(expert for rank in layer for expert in rank)
    return [sum(counts[e] / replicas[e] for e in rank) for rank in layer]


def slowest_load(
    layer: Layer, counts: list[float], slowdown: Sequence[float] = ()
) -> float:
    """
    Return the load of a layer's slowest rank, which all others wait for.

    ``slowdown`` is the factor by which each rank takes longer for a token; by
    default all ranks take the same time.

    >>> slowest_load([[0, 1], [1]], [2.0, 6.0], [1.0, 2.0])
    6.0
    """
    loads = rank_loads(layer, counts)
    if not slowdown:
        return max(loads)
    return max(load * factor for load, factor in zip(loads, slowdown, strict=True))


def map_skew(expert_map: ExpertMap, counts: list[list[float]]) -> float:
    """
    Return the duration of a step relative to one with evenly loaded ranks.

    Each layer takes as long as its slowest rank. The minimum is 1.
    """
    slowest = 0.0
    even = 0.0
    for layer, layer_counts in zip(expert_map.layers, counts, strict=True):
        loads = rank_loads(layer, layer_counts)
        slowest += max(loads)
        even += sum(loads) / len(loads)
    return slowest / even if even else 1.0


def moved_experts(old: ExpertMap, new: ExpertMap) -> int:
    """Return the number of experts that ranks have to load for the new map."""
    return sum(
        len(set(new_rank) - set(old_rank))
        for old_layer, new_layer in zip(old.layers, new.layers, strict=True)
        for old_rank, new_rank in zip(old_layer, new_layer, strict=True)
    )
