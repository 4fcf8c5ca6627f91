"""Troubles of a target that last for hours do not end what measures them."""

import pytest
from direct_builders import build_state

from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_entry.direct.targets.probe_schedule import (
    MAX_INTERVAL_SECONDS,
    ProbeSchedule,
)
from briarthread_entry.direct.targets.target_state import (
    MAX_EJECTION_SECONDS as MAX_DIRECT_EJECTION_SECONDS,
)
from briarthread_entry.routing.target_state import (
    MAX_EJECTION_SECONDS,
    TargetState,
)

REPETITIONS = 5000
"""Number of repetitions without a success, of a day or so."""


def test_target_is_probed_after_any_number_of_probes() -> None:
    """Guards against an error of the checker after some hours of doubt."""
    schedule = ProbeSchedule()
    for _ in range(REPETITIONS):
        schedule.note_sent(now=10.0)
    assert schedule.next_at == 10.0 + MAX_INTERVAL_SECONDS


@pytest.mark.parametrize(
    ("state", "longest"),
    [
        (build_state(), MAX_DIRECT_EJECTION_SECONDS),
        (
            TargetState(Instance("t", "palermo", "10.0.0.1:1", InstanceRole.TARGET)),
            MAX_EJECTION_SECONDS,
        ),
    ],
)
def test_target_is_ejected_for_the_longest_time_after_any_number_of_failures(
    state: TargetState, longest: float
) -> None:
    """Guards against requests that fail because their target failed too often."""
    for _ in range(REPETITIONS):
        state.note_failure(10.0)
    assert state.ejected_until == 10.0 + longest
