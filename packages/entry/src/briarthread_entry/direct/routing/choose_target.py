"""
Load-balancing policies for direct targets.

Many entries choose at the same time, and none knows all requests that the others have
just sent. A rank of a model engine is chosen by the number of requests that all entries
run there, since the whole group waits for its slowest rank. A plain target is chosen by
the expected duration of a call.
"""

import random
from collections.abc import Callable, Mapping, Sequence

from briarthread_entry.direct.routing.plain_option import PlainOption
from briarthread_entry.direct.targets.target_state import DirectTargetState

RunningElsewhere = Callable[[str], int]
"""Return the number of attempts that other entries run at the named target."""
REMOTE_PENALTY = 1.3
"""Factor on the expected duration of a call to another data centre. Traffic between
data centres is billed, so a remote target must be clearly faster to be chosen."""
COST_TOLERANCE_SECONDS = 1e-9
"""Difference up to which two costs in seconds count as equal."""
SLOW_FACTOR = 1.5
"""Slowdown relative to the fastest rank above which a rank is excluded. Below it,
the slots lost by excluding the rank outweigh the shorter passes."""


def without_slow(
    states: Sequence[DirectTargetState], slowdown: Callable[[str], float]
) -> list[DirectTargetState]:
    """
    Return the ranks that are not slow in comparison with the fastest one.

    A pass takes as long as its slowest rank, so a request on a slow rank delays the
    requests on all other ranks. ``slowdown`` returns, for an address, by what factor a
    rank is slower than usual.
    """
    least = min((slowdown(state.target.address) for state in states), default=1.0)
    return [s for s in states if slowdown(s.target.address) <= least * SLOW_FACTOR]


def choose_rank(
    states: Sequence[DirectTargetState],
    elsewhere: RunningElsewhere,
    assigned: Mapping[str, int],
    now: float,
    rng: random.Random,
) -> DirectTargetState | None:
    """
    Return the rank that a request is sent to, ``None`` if there are no ranks.

    ``assigned`` holds the number of slots per rank that are assigned to this entry, see
    AssignedSlots. Use a rank with a free assigned slot if there is one. Otherwise pick
    at random among the ranks with free slots, weighted by their number, because other
    entries choose at the same time with the same information. If all ranks are full,
    use one that runs the fewest requests.
    """
    usable = without_ejected(states, now)
    if not usable:
        return None
    running = {s.target.name: s.running + elsewhere(s.target.name) for s in usable}
    free = [s for s in usable if running[s.target.name] < s.target.slots]
    free_assigned = [s for s in free if s.running < assigned.get(s.target.name, 0)]
    if free and not free_assigned:
        weights = [(s.target.slots - running[s.target.name]) ** 2 for s in free]
        return rng.choices(free, weights)[0]
    candidates = free_assigned or usable
    keys = [(running[s.target.name], s.prompt_tokens) for s in candidates]
    least = min(keys)
    return rng.choice(
        [s for s, key in zip(candidates, keys, strict=True) if key == least]
    )


def choose_plain(
    options: Sequence[PlainOption],
    data_centre: str,
    seconds_left: float,
    rng: random.Random,
) -> PlainOption | None:
    """
    Return the target with the lowest expected cost, ``None`` if there are none.

    A target of another data centre has to be clearly faster to be chosen. It need not
    be if it usually answers within ``seconds_left``, the time in which the response is
    not late, and no target of this data centre does.
    """
    if not options:
        return None
    near = [o for o in options if o.state.target.data_centre == data_centre]
    near_is_late = all(option.usual_seconds > seconds_left for option in near)

    def cost(option: PlainOption) -> float:
        remote = option.state.target.data_centre != data_centre
        saves_time = near_is_late and option.usual_seconds <= seconds_left
        return option.cost * (REMOTE_PENALTY if remote and not saves_time else 1.0)

    costs = [cost(option) for option in options]
    least = min(costs)
    return rng.choice(
        [
            o
            for o, c in zip(options, costs, strict=True)
            if c <= least + COST_TOLERANCE_SECONDS
        ]
    )


def without_ejected(
    states: Sequence[DirectTargetState], now: float
) -> list[DirectTargetState]:
    """Return the targets that are not ejected, or all targets if all are ejected."""
    usable = [state for state in states if state.ejected_until <= now]
    return usable or list(states)
