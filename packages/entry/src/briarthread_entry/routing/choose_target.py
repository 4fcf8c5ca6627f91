"""The choice among targets."""

import random
from collections.abc import Callable, Sequence

from briarthread_entry.routing.target_state import TargetState

CANDIDATES = 2
Choose = Callable[[Sequence[TargetState], float, random.Random], TargetState | None]


def choose_target(
    states: Sequence[TargetState], now: float, rng: random.Random
) -> TargetState | None:
    """
    Return the cheaper of two targets drawn at random, ``None`` if none is.

    Two choices rather than the best of all, so that entries that share a
    stale picture do not all send to the same target.
    """
    usable = [state for state in states if state.usable(now)]
    if not usable:
        return None
    drawn = rng.sample(usable, min(CANDIDATES, len(usable)))
    return min(drawn, key=lambda state: (state.cost(now), state.instance.name))
