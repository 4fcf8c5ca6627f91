"""Placement of all experts from scratch, by popularity alone."""

import heapq

from briarthread_common.messages.expert_map import ExpertMap
from briarthread_common.placement.rank_loads import Layer


def place_experts(
    version: int, counts: list[list[float]], ranks: int, slots: int
) -> ExpertMap:
    """
    Place experts by the longest-processing-time-first rule.

    Spare slots are filled with replicas of the experts with the most tokens per
    replica. Then each replica, heaviest first, goes to the least loaded rank that
    has a free slot and does not hold the expert. The result ignores the present
    placement, so nearly every expert moves. It serves as the reference for the
    best skew that a map can reach.
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
            free_ranks = [
                r
                for r in range(ranks)
                if len(layer[r]) < slots and expert not in layer[r]
            ]
            if not free_ranks:
                break
            rank = min(free_ranks, key=lambda r: (loads[r], r))
            layer[rank].append(expert)
            loads[rank] += counts[expert] / replicas[expert]
    return layer


def _replicate(counts: list[float], ranks: int, slots: int) -> list[int]:
    """Return the number of replicas of each expert."""
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
