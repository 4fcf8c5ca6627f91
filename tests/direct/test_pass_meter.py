"""Measurement of a group's passes on an entry's own streams."""

import pytest
from direct_builders import build_engine_profile

from briarthread_entry.direct.groups.group_concurrency import (
    initial_request_cost,
    max_concurrency,
)
from briarthread_entry.direct.groups.pass_meter import PassMeter

RANKS, PAUSE_AIM = 12, 0.12


def build_meter() -> PassMeter:
    """Return the meter of an entry that has just started."""
    engine = build_engine_profile()
    return PassMeter(
        engine.steps_per_pass * engine.step_seconds, initial_request_cost(engine, RANKS)
    )


def concurrency_limit(meter: PassMeter, now: float) -> int:
    """Return the concurrency limit that follows from a meter."""
    return max_concurrency(
        RANKS, build_engine_profile(), PAUSE_AIM, meter.request_cost(now)
    )


def test_first_pauses_after_a_restart_do_not_close_the_group() -> None:
    meter = build_meter()
    for stream in range(6):
        meter.note_event(1.0, now=1.25 + stream / 1000, running=10)
    assert concurrency_limit(meter, now=1.3) >= 60


@pytest.mark.parametrize(("pause", "least", "most"), [(0.06, 72, 72), (0.1, 40, 55)])
def test_concurrency_limit_follows_the_pauses(
    pause: float, least: int, most: int
) -> None:
    meter = build_meter()
    for event in range(400):
        now = 1.0 + event * 0.01
        meter.note_event(now - pause, now, running=50)
    assert least <= concurrency_limit(meter, now=5.0) <= most


def test_peak_cost_outlasts_a_shift_of_the_experts_popularity() -> None:
    """Guards against a limit that admits too much again before the next shift."""
    meter = PassMeter(fixed_seconds=0.02, initial_cost=0.001)
    now = 0.0
    for cost in [0.001] * 400 + [0.002] * 100 + [0.001] * 200:
        now += 0.01
        meter.note_event(now - 0.02 - cost * 40, now, running=40)
    assert meter.request_cost(now) < 0.0013
    assert meter.peak_request_cost(now) > 0.0014


def test_peak_cost_is_the_mean_cost_under_a_steady_load() -> None:
    meter = PassMeter(fixed_seconds=0.02, initial_cost=0.002)
    now = 0.0
    for _ in range(3000):
        now += 0.01
        meter.note_event(now - 0.06, now, running=40)
    assert meter.peak_request_cost(now) == pytest.approx(0.001, rel=0.01)
    assert meter.request_cost(now) == pytest.approx(0.001, rel=0.01)
