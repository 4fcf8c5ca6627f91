"""The decision whether a group changes its map."""

from dataclasses import dataclass

from briarthread_common.messages.expert_map import ExpertMap
from briarthread_common.placement.improve_map import improve_map
from briarthread_common.placement.place_experts import place_experts
from briarthread_common.placement.rank_loads import map_skew, moved_experts
from briarthread_common.text.objective import Objective

DRIFT_HORIZON_SECONDS = 1800.0
"""Time over which a saving is counted before popularity has drifted on."""
CANDIDATE_MOVE_FRACTIONS = (0.02, 0.05, 0.1, 0.25)
"""Parts of all experts that a candidate map may load anew."""


@dataclass(frozen=True, slots=True)
class MapMove:
    """Change to this map; times are in seconds of the whole group."""

    expert_map: ExpertMap
    moved: int
    saved: float
    cost: float


@dataclass(frozen=True, slots=True)
class KeepMap:
    """Keep the map; ``reason`` says why."""

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
    Return the move with the best weighed gain, or the reason to stay.

    ``load_seconds`` is the time that loading one expert takes from the
    group's part of the weight store. A map saves the part of the coming
    ``DRIFT_HORIZON_SECONDS`` that its lower skew gives back; the saving weighs
    ``skew_weight``, the loading ``rebalance_weight``.
    """
    skew = map_skew(present, counts)
    experts = sum(len(rank) for layer in present.layers for rank in layer)
    best: MapMove | None = None
    best_gain = 0.0
    candidates = [
        improve_map(version, present, counts, slots, max(1, int(experts * part)))
        for part in CANDIDATE_MOVE_FRACTIONS
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
