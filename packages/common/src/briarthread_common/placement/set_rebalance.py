"""
Rebalancing of one set of experts under demand that shifts within seconds.

It is meant for experts whose popularity changes every few seconds, in a group with so
many requests that the duration of its passes decides how many are served in time. A
change pays off where the time it takes off the coming passes is worth more than
loading the experts. The slowest rank of each set adds to the duration of the pass,
so each set is decided on its own.
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
"""Cost of loading one expert, in seconds of a fully loaded group of
``LOAD_COST_RANKS`` ranks: the transfer is charged for, and passes take longer
during it."""
LOAD_COST_RANKS = 12
"""Number of ranks above which the cost of a load falls in inverse proportion to the
group's size, because a second of a larger group serves more callers. At the cost of
a small group, hardly any load would pay off in a large one."""
DEFAULT_EXPERT_SHARE = 0.9
"""Fraction of a pass, without its fixed part, that is spent on experts, if the engine's
profile specifies none."""
ZERO_WEIGHT_PASS_SECONDS = 0.045
"""Duration of a pass, in seconds, up to which shorter passes gain nothing because
answers are in time anyway. Between it and ``FULL_WEIGHT_PASS_SECONDS`` the gain is
weighted linearly."""
FULL_WEIGHT_PASS_SECONDS = 0.07
"""Duration of a pass, in seconds, from which the number of requests served in time
depends on it in full."""
MAX_LOADS_PER_RANK = 3
"""Maximum number of experts of one set that a change may load, per rank of the
group."""
SEARCH_PATIENCE_LOADS = 6
"""Number of loads beyond the best change so far after which the search stops. The
first steps gain most, and a long search would delay the change."""
SEARCH_PATIENCE_PER_RANK = 0.3
"""The same limit per rank, for large groups: where many ranks are as loaded as the
slowest one, nothing is gained until the last of them has been relieved."""


@dataclass(frozen=True, slots=True)
class PassDuration:
    """
    Describe the duration of a group's pass in seconds.

    ``fixed`` is the part that no map changes.
    """

    seconds: float
    fixed: float
    expert_share: float = DEFAULT_EXPERT_SHARE

    @property
    def weight(self) -> float:
        """Return the weight of a gain in pass duration, from 0 to 1."""
        over = (self.seconds - ZERO_WEIGHT_PASS_SECONDS) / (
            FULL_WEIGHT_PASS_SECONDS - ZERO_WEIGHT_PASS_SECONDS
        )
        return min(max(over, 0.0), 1.0)


@dataclass(frozen=True, slots=True)
class SetChange:
    """A better placement of one set, the experts to load and the seconds saved."""

    layer: Layer
    loads: int
    saved: float


def search_set_changes(
    layer: Layer,
    counts: list[float],
    other_sets_load: float,
    expert_layout: ExpertLayout,
    duration: PassDuration,
    slowdown: Sequence[float] = (),
) -> Iterator[SetChange]:
    """
    Yield the best change of one set found so far, after each step of the search.

    The last one has the highest saving net of cost; without a worthwhile change
    it is the present placement. Callers can do other work between two steps.
    ``other_sets_load`` is the sum of the slowest ranks' loads of the other sets, from
    which this set's share of the pass is derived. ``slowdown`` is the factor by which
    each rank takes longer for a token; by default all ranks take the same time.

    >>> expert_layout = ExpertLayout(1, 4, 3, 3)
    >>> busy = PassDuration(0.1, 0.03)
    >>> *_, best = search_set_changes([[0, 1], [2, 3]], [90.0, 90.0, 5.0, 5.0], 0.0,
    ...     expert_layout, busy)
    >>> best.layer
    [[1, 2], [3, 0]]
    """
    slowest = slowest_load(layer, counts, slowdown)
    best, best_gain = SetChange(layer, 0, 0.0), 0.0
    yield best
    if slowest <= 0:
        return
    variable_seconds = (duration.seconds - duration.fixed) * duration.expert_share
    load_value = variable_seconds / duration.seconds * HORIZON_SECONDS * duration.weight
    load_value /= slowest + other_sets_load
    load_cost = EXPERT_LOAD_COST_SECONDS * min(LOAD_COST_RANKS / len(layer), 1.0)
    max_loads = MAX_LOADS_PER_RANK * len(layer)
    patience = max(SEARCH_PATIENCE_LOADS, SEARCH_PATIENCE_PER_RANK * len(layer))
    steps = improve_steps(
        layer,
        counts,
        expert_layout.slots_per_rank,
        max_loads,
        expert_layout.max_new_experts,
        slowdown,
    )
    for better, loads in steps:
        saved = (slowest - slowest_load(better, counts, slowdown)) * load_value
        gain = saved - loads * load_cost
        if gain > best_gain:
            best, best_gain = SetChange(better, loads, saved), gain
        elif loads > best.loads + patience:
            return
        yield best
