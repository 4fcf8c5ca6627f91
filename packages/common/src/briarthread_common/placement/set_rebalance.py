"""
The decision whether a group changes its map while demand shifts by the second.

It answers experts whose popularity changes every few seconds, on a group that
carries so many requests that the length of its passes decides how many are
served in time. A change pays where the time that it takes off the passes to
come is worth more than the experts that have to be loaded for it. Each set of
experts adds its slowest rank to the pass, so each is decided by itself.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from briarthread_common.direct.expert_layout import ExpertLayout
from briarthread_common.placement.improve_map import improve_steps
from briarthread_common.placement.rank_loads import Layer, slowest_load

HORIZON_SECONDS = 2.5
"""Window, in seconds, over which the saving from a change is counted. It is short
because expert popularity shifts within seconds and a change takes about one second
to take effect."""
EXPERT_LOAD_COST_SECONDS = 0.008
"""What loading one expert costs, as seconds of a fully loaded group: the bytes
are paid for, and passes are longer while they come; for groups of
``LOAD_COST_RANKS``."""
LOAD_COST_RANKS = 12
"""Ranks from which on a load costs a group less the larger it is: a second of the
group then serves as many more callers as it has ranks. With the cost of a small
group hardly any load pays in a large one."""
DEFAULT_EXPERT_SHARE = 0.9
"""Part of a pass, beyond its fixed part, that lies with the experts where the
engine's figures name none."""
ZERO_WEIGHT_PASS_SECONDS = 0.045
"""Length of a pass, s, up to which nothing is gained by shorter ones: answers
come in time anyway. From there to ``FULL_WEIGHT_PASS_SECONDS`` the gain counts
in part."""
FULL_WEIGHT_PASS_SECONDS = 0.07
"""Length of a pass, s, from which its length decides how many are served."""
MAX_LOADS_PER_RANK = 3
"""Experts of one set that one change may load, for each rank of the group."""
SEARCH_PATIENCE_LOADS = 6
"""Loads beyond the best change found so far after which the search ends: the
first steps gain most, and a long search would delay the change."""
SEARCH_PATIENCE_PER_RANK = 0.3
"""The same as a part of the ranks, for large groups: where many are as busy as the
busiest, nothing is gained before the last of them has given something up."""


@dataclass(frozen=True, slots=True)
class PassDuration:
    """State a group's pass in seconds, and the part that no map changes."""

    seconds: float
    fixed: float
    expert_share: float = DEFAULT_EXPERT_SHARE

    @property
    def pressure(self) -> float:
        """Return how much shorter passes are worth, from 0 to 1."""
        over = (self.seconds - ZERO_WEIGHT_PASS_SECONDS) / (
            FULL_WEIGHT_PASS_SECONDS - ZERO_WEIGHT_PASS_SECONDS
        )
        return min(max(over, 0.0), 1.0)


@dataclass(frozen=True, slots=True)
class SetChange:
    """A better placement of one set, with what it loads and saves (s)."""

    layer: Layer
    loads: int
    saved: float


def search_set_changes(
    layer: Layer,
    counts: list[float],
    others: float,
    figures: ExpertLayout,
    length: PassDuration,
    slowdown: Sequence[float] = (),
) -> Iterator[SetChange]:
    """
    Give ever better changes of one set, after each step of the search.

    The last is the one whose saving exceeds its cost by most; without a
    worthwhile change the set comes back as it is. A caller with other work may
    do it between two steps. ``others`` is the load of the slowest ranks of the
    other sets together, so that the pass can be shared out over the sets.
    ``slowdown`` is how many times longer each rank takes for a token; left out,
    all take the same time.

    >>> figures = ExpertLayout(1, 4, 3, 3)
    >>> busy = PassDuration(0.1, 0.03)
    >>> *_, best = search_set_changes([[0, 1], [2, 3]], [90.0, 90.0, 5.0, 5.0], 0.0,
    ...     figures, busy)
    >>> best.layer
    [[1, 2], [3, 0]]
    """
    slowest = slowest_load(layer, counts, slowdown)
    best, best_gain = SetChange(layer, 0, 0.0), 0.0
    yield best
    if slowest <= 0:
        return
    movable = (length.seconds - length.fixed) * length.expert_share
    worth = movable / length.seconds * HORIZON_SECONDS * length.pressure
    worth /= slowest + others
    each = EXPERT_LOAD_COST_SECONDS * min(LOAD_COST_RANKS / len(layer), 1.0)
    most = MAX_LOADS_PER_RANK * len(layer)
    patience = max(SEARCH_PATIENCE_LOADS, SEARCH_PATIENCE_PER_RANK * len(layer))
    steps = improve_steps(
        layer, counts, figures.slots_per_rank, most, figures.max_new_experts, slowdown
    )
    for better, loads in steps:
        saved = (slowest - slowest_load(better, counts, slowdown)) * worth
        gain = saved - loads * each
        if gain > best_gain:
            best, best_gain = SetChange(better, loads, saved), gain
        elif loads > best.loads + patience:
            return
        yield best
