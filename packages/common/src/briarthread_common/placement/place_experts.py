"""A placement from nothing but popularity."""

import heapq

from briarthread_common.messages.expert_map import ExpertMap
from briarthread_common.placement.rank_loads import Layer


def place_experts(
    version: int, counts: list[list[float]], ranks: int, slots: int
) -> ExpertMap:
    """
    Place experts by longest processing time first.

    Spare slots go to replicas of the experts with most tokens a replica;
    then each replica, heaviest first, goes to the least loaded rank that has
    a slot and does not hold the expert. It moves nearly everything and is
    the yardstick for what a map can reach at best.
    """
    layers = [place_layer(layer, ranks, slots) for layer in counts]
    return ExpertMap(version, layers)


def place_layer(counts: list[float], ranks: int, slots: int) -> Layer:
    """Return the placement of one layer."""
    replicas = _replicate(counts, ranks, slots)
    order = sorted(range(len(counts)), key=lambda e: (-counts[e] / replicas[e], e))
    layer: Layer = [[] for _ in range(ranks)]
    loads = [0.0] * ranks
    for expert in order:
        for _ in range(replicas[expert]):
            open_ranks = [
                r
                for r in range(ranks)
                if len(layer[r]) < slots and expert not in layer[r]
            ]
            if not open_ranks:
                break
            rank = min(open_ranks, key=lambda r: (loads[r], r))
            layer[rank].append(expert)
            loads[rank] += counts[expert] / replicas[expert]
    return layer


def _replicate(counts: list[float], ranks: int, slots: int) -> list[int]:
    replicas = [1] * len(counts)
    heap = [(-count, expert) for expert, count in enumerate(counts)]
    heapq.heapify(heap)
    spare = ranks * slots - len(counts)
    while spare > 0 and heap:
        _, expert = heapq.heappop(heap)
        if replicas[expert] >= ranks:
            continue
        replicas[expert] += 1
        spare -= 1
        heapq.heappush(heap, (-counts[expert] / replicas[expert], expert))
    return replicas
