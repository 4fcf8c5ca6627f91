"""
The choice of a direct target.

It answers an even load: requests that come singly from many entries, none of
which knows all that the others have sent. A model engine's rank is chosen by
what runs there over all entries, since the group waits for its slowest rank; a
plain target by the time that a call is expected to take there.
"""

import random
from collections.abc import Callable, Sequence

from briarthread_entry.direct.target_state import DirectTargetState

Elsewhere = Callable[[str], int]
"""Gives, for a target's name, the attempts that other entries have there."""
FAR_PENALTY = 1.3
"""Factor on the expected time in another data centre. Traffic between data
centres is paid for, so it takes a clear gain to go there."""
SAME = 1e-9
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
    elsewhere: Elsewhere,
    now: float,
    rng: random.Random,
) -> DirectTargetState | None:
    """Return the rank with the least running, by chance among equals."""
    usable = usable_first(states, now)
    if not usable:
        return None
    keys = [
        (state.running + elsewhere(state.target.name), state.prompt_tokens)
        for state in usable
    ]
    least = min(keys)
    return rng.choice([s for s, key in zip(usable, keys, strict=True) if key == least])


def choose_plain(
    states: Sequence[DirectTargetState],
    elsewhere: Elsewhere,
    data_centre: str,
    now: float,
    rng: random.Random,
) -> DirectTargetState | None:
    """Return the target where a call is expected to take the least time."""
    usable = usable_first(states, now)
    if not usable:
        return None

    def cost(state: DirectTargetState) -> float:
        near = state.target.data_centre == data_centre
        expected = state.cost(elsewhere(state.target.name))
        return expected * (1.0 if near else FAR_PENALTY)

    costs = [cost(state) for state in usable]
    least = min(costs)
    return rng.choice(
        [s for s, c in zip(usable, costs, strict=True) if c <= least + SAME]
    )


def usable_first(
    states: Sequence[DirectTargetState], now: float
) -> list[DirectTargetState]:
    """Return the targets not ejected, or where all are, all of them."""
    usable = [state for state in states if state.ejected_until <= now]
    return usable or list(states)
