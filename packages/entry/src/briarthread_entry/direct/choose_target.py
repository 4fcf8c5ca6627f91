"""
The choice of a direct target.

It answers an even load: requests that come singly from many entries, none of
which knows all that the others have sent. A model engine's rank is chosen by
what runs there over all entries, since the group waits for its slowest rank; a
plain target by the time that a call is expected to take there.
"""

import random
from collections.abc import Callable, Mapping, Sequence

from briarthread_entry.direct.target_state import DirectTargetState

RunningElsewhere = Callable[[str], int]
"""Gives, for a target's name, the attempts that other entries have there."""
REMOTE_PENALTY = 1.3
"""Factor on the expected time in another data centre. Traffic between data
centres is paid for, so it takes a clear gain to go there."""
COST_TOLERANCE_SECONDS = 1e-9
SLOW_FACTOR = 1.5
"""How many times longer than the fastest rank one may take to be used: under
that, leaving it out costs more slots than it saves in the length of passes."""


def without_slow(
    states: Sequence[DirectTargetState], slowdown: Callable[[str], float]
) -> list[DirectTargetState]:
    """
    Return the ranks that are not slow, or where all are, all of them.

    A pass lasts as long as the slowest rank's part, so that a request on a slow
    rank holds up those on all others. ``slowdown`` gives, for an address, how
    many times longer than usual a rank takes.
    """
    least = min((slowdown(state.target.address) for state in states), default=1.0)
    return [s for s in states if slowdown(s.target.address) <= least * SLOW_FACTOR]


def choose_rank(
    states: Sequence[DirectTargetState],
    elsewhere: RunningElsewhere,
    home: Mapping[str, int],
    now: float,
    rng: random.Random,
) -> DirectTargetState | None:
    """
    Return the rank that a request goes to.

    ``home`` gives the slots that are this entry's own, see AssignedSlots. One of
    those is taken where one is free; else a rank by chance, the likelier the more
    slots it has free, since others choose at the same time and know no more; and
    where all are full the one with the least running.
    """
    usable = without_ejected(states, now)
    if not usable:
        return None
    running = {s.target.name: s.running + elsewhere(s.target.name) for s in usable}
    free = [s for s in usable if running[s.target.name] < s.target.slots]
    own = [s for s in free if s.running < home.get(s.target.name, 0)]
    if free and not own:
        weights = [(s.target.slots - running[s.target.name]) ** 2 for s in free]
        return rng.choices(free, weights)[0]
    candidates = own or usable
    keys = [(running[s.target.name], s.prompt_tokens) for s in candidates]
    least = min(keys)
    return rng.choice(
        [s for s, key in zip(candidates, keys, strict=True) if key == least]
    )


def choose_plain(
    states: Sequence[DirectTargetState],
    elsewhere: RunningElsewhere,
    data_centre: str,
    now: float,
    rng: random.Random,
) -> DirectTargetState | None:
    """Return the target where a call is expected to take the least time."""
    usable = without_ejected(states, now)
    if not usable:
        return None

    def cost(state: DirectTargetState) -> float:
        near = state.target.data_centre == data_centre
        expected = state.cost(elsewhere(state.target.name))
        return expected * (1.0 if near else REMOTE_PENALTY)

    costs = [cost(state) for state in usable]
    least = min(costs)
    return rng.choice(
        [
            s
            for s, c in zip(usable, costs, strict=True)
            if c <= least + COST_TOLERANCE_SECONDS
        ]
    )


def without_ejected(
    states: Sequence[DirectTargetState], now: float
) -> list[DirectTargetState]:
    """Return the targets not ejected, or where all are, all of them."""
    usable = [state for state in states if state.ejected_until <= now]
    return usable or list(states)
