"""How many requests a target that names a limit gets from all entries together."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarthread_entry.direct.target_limits import TargetLimits
from briarthread_standins.direct_config import DIARY
from briarthread_standins.limit_day import LimitDay, LimitStep
from briarthread_standins.limit_tally import LimitTally, allowed
from briarthread_standins.play_limits import play_limits

STABLE_SECONDS = 3.0
"""Time after the first word on a limit from which on it has to be kept."""
NAMED_AT = 3.0
LIMITS = ["1", "2.5", "6"]


def within(tally: LimitTally, limit: float, targets: int = 1) -> None:
    """Check that none of the first targets got more than its limit allows."""
    since = NAMED_AT + STABLE_SECONDS
    most = max(tally.most(target, since) for target in range(targets))
    assert 0 < most <= allowed(limit)


def in_need(limit: str, targets: int = 1) -> tuple[LimitStep, ...]:
    return (LimitStep(NAMED_AT, limit, targets),)


@pytest.mark.parametrize(("rate", "seed"), [(28.0, 1), (45.0, 1), (45.0, 2)])
def test_rank_in_need_gets_no_more_than_the_limit_that_it_names(
    rate: float, seed: int
) -> None:
    """
    A rank of twelve names a limit of one request a second in its answers.

    Users saw it get 12 requests within four seconds, half a minute and more after its
    first word, where 11 are allowed; nobody else noticed. Nine entries served
    28 requests a second without any fault, an alert or a repeat. Nothing read the
    limit: each entry's log told of it as soon as there was a line for it, and the
    rank's requests went on as before, one in twelve of all. So each rank that names a
    low limit exceeds it sooner or later, by chance.
    """
    tally = play_limits(
        LimitDay(rate=rate, steps=in_need("1"), seconds=24.0, seed=seed)
    )
    assert set(tally.statuses) == {200}
    within(tally, 1.0)


@pytest.mark.parametrize("limit", LIMITS)
def test_rank_in_need_gets_most_of_what_it_offers(limit: str) -> None:
    day = LimitDay(targets=4, rate=36.0, steps=in_need(limit), seconds=18.0)
    tally = play_limits(day)
    within(tally, float(limit))
    got = tally.a_second(0, NAMED_AT + STABLE_SECONDS, 18.0)
    assert got >= 0.8 * float(limit)


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("trouble", ["restarted", "cut_off"])
def test_limit_holds_while_the_entry_that_deals_it_is_away(
    trouble: str, limit: str
) -> None:
    """The second in line deals half meanwhile, and the first starts with nothing."""
    day = LimitDay(
        targets=4,
        rate=36.0,
        seconds=18.0,
        steps=in_need(limit),
        trouble_at=9.0,
        **{trouble: True},
    )
    tally = play_limits(day)
    within(tally, float(limit))
    assert tally.a_second(0, 10.0, 13.0) >= 0.3 * float(limit)


@pytest.mark.parametrize("limit", LIMITS)
def test_callers_are_refused_at_once_where_all_targets_are_at_their_limits(
    limit: str,
) -> None:
    """Three plain targets get a third more than they take together."""
    rate = 4 * float(limit)
    day = LimitDay(
        targets=3, service=DIARY, rate=rate, steps=in_need(limit, 3), seconds=18.0
    )
    tally = play_limits(day)
    within(tally, float(limit), targets=3)
    assert set(tally.statuses) == {200, 503}
    assert tally.slowest_refusal <= 0.25
    assert min(tally.waits) > 0
    assert max(tally.waits) <= 8 / 3
    served = sum(tally.a_second(target, 6.0, 18.0) for target in range(3))
    assert served >= 0.8 * 3 * float(limit)


def test_ranks_that_all_name_limits_are_no_broken_group() -> None:
    day = LimitDay(targets=4, rate=12.0, steps=in_need("2", 4))
    tally = play_limits(day)
    within(tally, 2.0, targets=4)
    served = sum(tally.a_second(target, 6.0, 24.0) for target in range(4))
    assert served >= 0.75 * 4 * 2.0


def test_limit_that_moves_ends_and_comes_again_is_followed() -> None:
    steps = [(3.0, "1"), (9.0, "4"), (15.0, None), (21.0, "1")]
    day = LimitDay(
        targets=4,
        rate=36.0,
        seconds=30.0,
        steps=tuple(LimitStep(at, to) for at, to in steps),
    )
    tally = play_limits(day)
    assert tally.most(0, 6.0, 9.0) <= allowed(1.0)
    assert tally.most(0, 10.0, 15.0) <= allowed(4.0)
    assert tally.a_second(0, 10.0, 15.0) >= 3.0
    assert tally.a_second(0, 16.0, 21.0) >= 5.5
    assert tally.most(0, 24.0) <= allowed(1.0)


def test_limit_is_known_to_an_entry_that_never_sent_there() -> None:
    limits, others = TargetLimits(), TargetLimits()
    limits.note_response("t", "2", sent=1.0, now=1.1)
    others.merge("entry-2", limits.report(now=1.5), now=7.5)
    assert others.limit_of("t") == 2.0
    limits.note_response("t", None, sent=2.0, now=2.1)
    others.merge("entry-2", limits.report(now=2.2), now=8.2)
    assert others.limit_of("t") is None


def test_word_of_one_that_was_cut_off_does_not_bring_an_ended_limit_back() -> None:
    limits, cut_off = TargetLimits(), TargetLimits()
    cut_off.note_response("t", "2", sent=1.0, now=1.1)
    limits.merge("entry-2", cut_off.report(now=1.2), now=1.2)
    limits.note_response("t", None, sent=2.0, now=2.1)
    limits.merge("entry-2", cut_off.report(now=9.0), now=9.0)
    assert limits.limit_of("t") is None


def test_answer_to_an_earlier_request_does_not_end_a_limit() -> None:
    limits = TargetLimits()
    limits.note_response("t", "2", sent=1.0, now=1.2)
    limits.note_response("t", None, sent=1.1, now=3.0)
    assert limits.limit_of("t") == 2.0


@pytest.mark.parametrize("raw", ["", "x", "0", "-1", "nan", "-inf", "1;2", "1,,2"])
def test_limit_that_is_no_number_above_zero_changes_nothing(raw: str) -> None:
    limits = TargetLimits()
    limits.note_response("t", raw, sent=1.0, now=1.1)
    assert limits.limit_of("t") is None
    limits.note_response("t", "3", sent=2.0, now=2.1)
    limits.note_response("t", raw, sent=3.0, now=3.1)
    assert limits.limit_of("t") == 3.0


@pytest.mark.parametrize("raw", ["inf", "1e300", "9" * 5000])
def test_huge_limit_bounds_nothing(raw: str) -> None:
    limits = TargetLimits()
    limits.note_response("t", raw, sent=1.0, now=1.1)
    assert limits.limit_of("t") is None


@given(st.text(max_size=60))
@settings(max_examples=2000, derandomize=True, deadline=None)
def test_any_text_for_a_limit_is_taken_or_left(raw: str) -> None:
    limits = TargetLimits()
    limits.note_response("t", raw, sent=1.0, now=1.1)
    limit = limits.limit_of("t")
    assert limit is None or limit > 0
