"""Policies that choose a target of a plain service, to compare with production."""

import random
from collections.abc import Sequence
from contextlib import nullcontext

from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.routing.choose_target import (
    COST_TOLERANCE_SECONDS,
    REMOTE_PENALTY,
    RunningElsewhere,
    without_ejected,
)
from briarthread_entry.direct.targets.target_state import (
    DEFAULT_RESPONSE_SECONDS,
    DirectTargetState,
)


def one_mean(entry: DirectEntry) -> None:
    """
    Let an entry choose by one mean duration per target, whatever its load.

    Attempts are not moved off silent targets.
    """
    plain_targets = entry.runner.chooser.plain_targets
    rng = random.Random(plain_targets.rng.random())

    def choose(
        request: DirectRequest,
        states: Sequence[DirectTargetState],
        elsewhere: RunningElsewhere,
        now: float,
    ) -> DirectTargetState | None:
        usable = without_ejected(states, now)
        if not usable:
            return None
        near = plain_targets.data_centre
        costs = [
            state.cost(
                _mean_seconds(state), state.running + elsewhere(state.target.name)
            )
            * (1.0 if state.target.data_centre == near else REMOTE_PENALTY)
            for state in usable
        ]
        limit = min(costs) + COST_TOLERANCE_SECONDS
        return rng.choice(
            [s for s, cost in zip(usable, costs, strict=True) if cost <= limit]
        )

    plain_targets.choose = choose
    entry.runner.silent_attempts.watch = lambda state, on_silent: nullcontext()


def _mean_seconds(state: DirectTargetState) -> float:
    if not state.response_seconds.samples:
        return DEFAULT_RESPONSE_SECONDS
    return state.response_seconds.value
