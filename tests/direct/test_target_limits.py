"""Compliance of all entries together with the rate limits that targets state."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarthread_entry.direct.limits.target_limits import TargetLimits
from briarthread_standins.direct_config import DIARY
from briarthread_standins.limit_results import LimitResults, max_allowed_arrivals
from briarthread_standins.limit_scenario import LimitScenario, LimitStep
from briarthread_standins.limit_simulation import simulate_limits

STABLE_SECONDS = 3.0
"""Time in seconds after a limit is first stated until it must be observed."""
LIMIT_START_SECONDS = 3.0
LIMITS = ["1", "2.5", "6"]


def check_limit(tally: LimitResults, limit: float, targets: int = 1) -> None:
    """Check that none of the first ``targets`` got more than its limit allows."""
    since = LIMIT_START_SECONDS + STABLE_SECONDS
    highest = max(tally.max_arrivals(target, since) for target in range(targets))
    assert 0 < highest <= max_allowed_arrivals(limit)


def limit_steps(limit: str, targets: int = 1) -> tuple[LimitStep, ...]:
    return (LimitStep(LIMIT_START_SECONDS, limit, targets),)


@pytest.mark.parametrize(("rate", "seed"), [(28.0, 1), (45.0, 1), (45.0, 2)])
def test_rank_gets_no_more_than_its_stated_limit(rate: float, seed: int) -> None:
    """
    One of twelve ranks states a limit of one request per second in its responses.

    Guards against entries that ignore the limit. A rank with such a limit then still
    gets one in twelve of all requests and exceeds a low limit sooner or later by
    chance. With nine entries and 28 requests per second, which were served without
    errors, alerts or retries, the rank got 12 requests within four seconds, more than
    half a minute after it first stated the limit; 11 are allowed.
    """
    tally = simulate_limits(
        LimitScenario(rate=rate, steps=limit_steps("1"), seconds=24.0, seed=seed)
    )
    assert set(tally.statuses) == {200}
    check_limit(tally, 1.0)


@pytest.mark.parametrize("limit", LIMITS)
def test_rank_gets_most_of_its_stated_limit(limit: str) -> None:
    day = LimitScenario(targets=4, rate=36.0, steps=limit_steps(limit), seconds=18.0)
    tally = simulate_limits(day)
    check_limit(tally, float(limit))
    rate = tally.arrivals_per_second(0, LIMIT_START_SECONDS + STABLE_SECONDS, 18.0)
    assert rate >= 0.8 * float(limit)


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("trouble", ["restarted", "cut_off"])
def test_limit_is_observed_while_its_token_issuer_is_unreachable(
    trouble: str, limit: str
) -> None:
    """The second issuer issues half meanwhile; a restarted one has an empty bucket."""
    day = LimitScenario(
        targets=4,
        rate=36.0,
        seconds=18.0,
        steps=limit_steps(limit),
        fault_at=9.0,
        **{trouble: True},
    )
    tally = simulate_limits(day)
    check_limit(tally, float(limit))
    assert tally.arrivals_per_second(0, 10.0, 13.0) >= 0.3 * float(limit)


@pytest.mark.parametrize("limit", LIMITS)
def test_callers_are_refused_at_once_if_all_targets_are_at_their_limits(
    limit: str,
) -> None:
    """Three plain targets get a third more requests than they accept together."""
    rate = 4 * float(limit)
    day = LimitScenario(
        targets=3, service=DIARY, rate=rate, steps=limit_steps(limit, 3), seconds=18.0
    )
    tally = simulate_limits(day)
    check_limit(tally, float(limit), targets=3)
    assert set(tally.statuses) == {200, 503}
    assert tally.slowest_refusal <= 0.25
    assert min(tally.retry_after_seconds) > 0
    assert max(tally.retry_after_seconds) <= 8 / 3
    served = sum(tally.arrivals_per_second(target, 6.0, 18.0) for target in range(3))
    assert served >= 0.8 * 3 * float(limit)


def test_group_whose_ranks_all_state_limits_is_not_broken() -> None:
    day = LimitScenario(targets=4, rate=12.0, steps=limit_steps("2", 4))
    tally = simulate_limits(day)
    check_limit(tally, 2.0, targets=4)
    served = sum(tally.arrivals_per_second(target, 6.0, 24.0) for target in range(4))
    assert served >= 0.75 * 4 * 2.0


def test_changed_ended_and_restored_limit_is_observed() -> None:
    steps = [(3.0, "1"), (9.0, "4"), (15.0, None), (21.0, "1")]
    day = LimitScenario(
        targets=4,
        rate=36.0,
        seconds=30.0,
        steps=tuple(LimitStep(at, to) for at, to in steps),
    )
    tally = simulate_limits(day)
    assert tally.max_arrivals(0, 6.0, 9.0) <= max_allowed_arrivals(1.0)
    assert tally.max_arrivals(0, 10.0, 15.0) <= max_allowed_arrivals(4.0)
    assert tally.arrivals_per_second(0, 10.0, 15.0) >= 3.0
    assert tally.arrivals_per_second(0, 16.0, 21.0) >= 5.5
    assert tally.max_arrivals(0, 24.0) <= max_allowed_arrivals(1.0)


def test_limit_is_known_to_an_entry_without_requests_to_the_target() -> None:
    limits, others = TargetLimits(), TargetLimits()
    limits.note_response("t", "2", sent=1.0, now=1.1)
    others.merge("entry-2", limits.report(now=1.5), now=7.5)
    assert others.limit_of("t") == 2.0
    limits.note_response("t", None, sent=2.0, now=2.1)
    others.merge("entry-2", limits.report(now=2.2), now=8.2)
    assert others.limit_of("t") is None


def test_report_of_an_entry_that_was_cut_off_does_not_restore_an_ended_limit() -> None:
    limits, cut_off = TargetLimits(), TargetLimits()
    cut_off.note_response("t", "2", sent=1.0, now=1.1)
    limits.merge("entry-2", cut_off.report(now=1.2), now=1.2)
    limits.note_response("t", None, sent=2.0, now=2.1)
    limits.merge("entry-2", cut_off.report(now=9.0), now=9.0)
    assert limits.limit_of("t") is None


def test_response_to_an_earlier_request_does_not_end_a_limit() -> None:
    limits = TargetLimits()
    limits.note_response("t", "2", sent=1.0, now=1.2)
    limits.note_response("t", None, sent=1.1, now=3.0)
    assert limits.limit_of("t") == 2.0


@pytest.mark.parametrize("raw", ["", "x", "0", "-1", "nan", "-inf", "1;2", "1,,2"])
def test_limit_that_is_not_a_positive_number_is_ignored(raw: str) -> None:
    limits = TargetLimits()
    limits.note_response("t", raw, sent=1.0, now=1.1)
    assert limits.limit_of("t") is None
    limits.note_response("t", "3", sent=2.0, now=2.1)
    limits.note_response("t", raw, sent=3.0, now=3.1)
    assert limits.limit_of("t") == 3.0


@pytest.mark.parametrize("raw", ["inf", "1e300", "9" * 5000])
def test_huge_limit_means_no_limit(raw: str) -> None:
    limits = TargetLimits()
    limits.note_response("t", raw, sent=1.0, now=1.1)
    assert limits.limit_of("t") is None


@given(st.text(max_size=60))
@settings(max_examples=2000, derandomize=True, deadline=None)
def test_any_limit_text_gives_a_positive_limit_or_none(raw: str) -> None:
    limits = TargetLimits()
    limits.note_response("t", raw, sent=1.0, now=1.1)
    limit = limits.limit_of("t")
    assert limit is None or limit > 0
