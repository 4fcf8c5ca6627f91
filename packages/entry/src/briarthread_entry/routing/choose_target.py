"""Choice of a target by the power of two random choices."""

import random
from collections.abc import Callable, Sequence

from briarthread_entry.routing.target_state import TargetState

CANDIDATES = 2
Choose = Callable[[Sequence[TargetState], float, random.Random], TargetState | None]


def choose_target(
    states: Sequence[TargetState], now: float, rng: random.Random
) -> TargetState | None:
    """
    Return the cheaper of two usable targets drawn at random, ``None`` without any.

    The cheapest of all targets is not used, because entries with the same outdated
    load reports would then all send to the same target.
    """
    usable = [state for state in states if state.usable(now)]
    if not usable:
        return None
    drawn = rng.sample(usable, min(CANDIDATES, len(usable)))
    return min(drawn, key=lambda state: (state.cost(now), state.instance.name))
