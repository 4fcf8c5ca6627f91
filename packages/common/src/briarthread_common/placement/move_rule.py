"""Decision whether a group changes its map."""

from dataclasses import dataclass

from briarthread_common.messages.expert_map import ExpertMap
from briarthread_common.placement.improve_map import improve_map
from briarthread_common.placement.place_experts import place_experts
from briarthread_common.placement.rank_loads import map_skew, moved_experts
from briarthread_common.text.objective import Objective

DRIFT_HORIZON_SECONDS = 1800.0
"""Period, in seconds, over which a saving is counted. After it, popularity has
drifted."""
CANDIDATE_MOVE_FRACTIONS = (0.02, 0.05, 0.1, 0.25)
"""Fractions of all experts that candidate maps may load."""


@dataclass(frozen=True, slots=True)
class MapMove:
    """Change to ``expert_map``; times are in seconds of the whole group."""

    expert_map: ExpertMap
    moved: int
    saved: float
    cost: float


@dataclass(frozen=True, slots=True)
class KeepMap:
    """Keep the present map for the given reason."""

    reason: str


def decide_move(
    version: int,
    present: ExpertMap,
    counts: list[list[float]],
    slots: int,
    load_seconds: float,
    objective: Objective,
) -> MapMove | KeepMap:
    """
    Return the move with the highest weighted gain, or the reason to keep the map.

    ``load_seconds`` is the time to load one expert over the group's share of the
    weight store's bandwidth. A map with lower skew saves the corresponding fraction
    of the next ``DRIFT_HORIZON_SECONDS``. The saving is weighted by ``skew_weight``,
    the time to load the moved experts by ``rebalance_weight``.
    """
    skew = map_skew(present, counts)
    experts = sum(len(rank) for layer in present.layers for rank in layer)
    best: MapMove | None = None
    best_gain = 0.0
    candidates = [
        improve_map(version, present, counts, slots, max(1, int(experts * fraction)))
        for fraction in CANDIDATE_MOVE_FRACTIONS
    ]
    candidates.append(place_experts(version, counts, len(present.layers[0]), slots))
    for candidate in candidates:
        moved = moved_experts(present, candidate)
        saved = (skew - map_skew(candidate, counts)) / skew * DRIFT_HORIZON_SECONDS
        cost = moved * load_seconds
        gain = saved * objective.skew_weight - cost * objective.rebalance_weight
        if moved and gain > best_gain:
            best, best_gain = MapMove(candidate, moved, saved, cost), gain
    if best is None:
        return KeepMap(f"skew {skew:.3f}; no move saves more than it costs")
    return best
