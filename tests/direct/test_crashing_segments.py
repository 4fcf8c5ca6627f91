"""Prompts with a segment that crashes each target which begins to answer them."""

from dataclasses import replace

import pytest
from direct_builders import run_in_direct_world
from hypothesis import given
from hypothesis import strategies as st

from briarthread_common.messages.crash_words import CrashWords
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker
from briarthread_entry.direct.crashes.proven_segments import (
    MAX_PER_ACCOUNT,
    MAX_SEGMENTS,
    ProvenSegments,
)
from briarthread_entry.direct.crashes.segment_tracker import MAX_REVIEWED, TRIAL_SECONDS
from briarthread_entry.direct.requests.prompt_segments import (
    MAX_ID_LENGTH,
    shared_segments,
)
from briarthread_entry.direct.requests.prompt_segments import (
    MAX_SEGMENTS as MAX_PROMPT_SEGMENTS,
)
from briarthread_standins.direct_world import DirectWorld
from briarthread_standins.segment_crash_scenario import (
    CULPRIT,
    FIRST_SEGMENT,
    SECOND_CULPRIT,
    SHARED_SEGMENT,
    SegmentCrashScenario,
)
from briarthread_standins.segment_crash_simulation import simulate_segment_crashes

MAX_LATE_ARRIVALS = 3
"""Arrivals allowed long after the fifth crash, of all entries in touch together."""
MIN_SERVED_SHARE = 0.5
"""Share of the sound requests served before that must be served later."""

GROUP = SegmentCrashScenario()
INDEPENDENT = replace(GROUP, lock_step=False, seconds=24.0)
SCENARIOS = {
    "a group of ranks": GROUP,
    "3 entries, rare": replace(GROUP, entries=3, culprit_rate=0.4, seconds=45.0),
    "24 entries, dense": replace(GROUP, entries=24, culprit_rate=6.0),
    "independent targets": INDEPENDENT,
    "independent targets, dense": replace(INDEPENDENT, culprit_rate=12.0),
    "silent ranks": replace(GROUP, silent=True, seconds=60.0),
    "silent ranks, 3 entries": replace(
        GROUP, silent=True, entries=3, targets=6, seconds=60.0
    ),
    "silent ranks before the head": replace(
        GROUP, silent=True, events_before_crash=None, seconds=60.0
    ),
    "silent ranks, among varying segments": replace(
        GROUP,
        silent=True,
        culprits=(f"{FIRST_SEGMENT},{CULPRIT}:90,*:70",),
        seconds=70.0,
    ),
    "before the head": replace(GROUP, events_before_crash=None),
    "after an event": replace(GROUP, events_before_crash=1),
    "after an event, independent": replace(INDEPENDENT, events_before_crash=1),
    "first segment": replace(GROUP, culprits=(f"{CULPRIT}:40,*:90",)),
    "first segment, alone": replace(GROUP, culprits=(f"{CULPRIT}:40",)),
    "among varying segments": replace(GROUP, culprits=(f"*:40,{CULPRIT}:90,*:70",)),
    "before a shared segment": replace(
        GROUP, culprits=(f"{FIRST_SEGMENT},{CULPRIT}:90,{SHARED_SEGMENT}",)
    ),
    "nothing answered before": replace(GROUP, culprits_from=0.0, culprit_rate=3.0),
    "callers repeat often": replace(GROUP, retries=4),
    "a third of the entries restarted": replace(GROUP, restarted=3),
    "all entries restarted": replace(GROUP, restarted=9, disturbed_at=22.0),
    "a data centre cut off": replace(GROUP, cut_seconds=6.0, seconds=45.0),
    "targets crash by themselves": replace(INDEPENDENT, other_crashes=1, seconds=30.0),
    "two culprits": replace(
        GROUP,
        culprits=(
            f"{FIRST_SEGMENT},{CULPRIT}:300",
            f"{FIRST_SEGMENT},{SECOND_CULPRIT}:200",
        ),
        seconds=60.0,
    ),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_segment_that_crashed_five_targets_reaches_hardly_any_more(name: str) -> None:
    """Guards against counting crashes by whole requests, no two of which are alike."""
    results = simulate_segment_crashes(SCENARIOS[name])
    assert results.crashes
    for culprit in results.crashes:
        assert results.late_arrivals(culprit) <= MAX_LATE_ARRIVALS
    assert results.served_after() >= MIN_SERVED_SHARE * results.served_before()


@pytest.mark.parametrize(
    ("name", "seed"),
    [
        ("silent ranks, among varying segments", 3),
        ("silent ranks, 3 entries", 3),
        ("silent ranks, 3 entries", 5),
    ],
)
def test_only_the_culprit_of_silent_ranks_is_blocked_and_in_time(
    name: str, seed: int
) -> None:
    """Guards against bystanders that are blocked in the place of the culprit."""
    results = simulate_segment_crashes(replace(SCENARIOS[name], seed=seed))
    assert results.crashes
    for culprit in results.crashes:
        assert results.late_arrivals(culprit) <= MAX_LATE_ARRIVALS
    assert all(CULPRIT in segments for segments in results.blocked)


OTHER_CAUSES = {
    "one a second": replace(INDEPENDENT, other_crashes=1),
    "four a second": replace(INDEPENDENT, other_crashes=4, down_seconds=1.0),
    "most of them": replace(INDEPENDENT, other_crashes=8, down_seconds=2.0),
    "silent ranks": replace(
        GROUP, other_crashes=1, other_interval=6.0, silent=True, seconds=60.0
    ),
    "silent ranks, one a second": replace(GROUP, other_crashes=1, silent=True),
    "ranks of a group": replace(GROUP, other_crashes=1, down_seconds=0.5),
    "prompts with one shared segment": replace(
        INDEPENDENT, other_crashes=2, sound=(FIRST_SEGMENT,), rate=30.0
    ),
}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("name", OTHER_CAUSES)
def test_no_segment_is_blocked_while_targets_crash_for_other_reasons(
    name: str, seed: int
) -> None:
    scenario = replace(OTHER_CAUSES[name], culprit_rate=0.0, seed=seed)
    results = simulate_segment_crashes(scenario)
    assert any(request.status == 200 for request in results.sound)
    assert results.blocked == set()


def crash(
    tracker: CrashTracker, at: float, *segments: str, target: str = "t-1"
) -> None:
    """Record that a request of its own digest with some segments crashed a target."""
    digest = f"digest-{target}-{at}"
    tracker.note_crash(digest, target, at - 0.1, at, segments=segments)


def is_refused(tracker: CrashTracker, now: float, *segments: str) -> bool:
    return tracker.segments.find_blocked(segments, now) is not None


def test_sound_prompts_are_served_though_nothing_was_answered_before() -> None:
    tracker = CrashTracker()
    for at in (1.0, 5.0, 9.0):
        crash(tracker, at, "a/first", "a/culprit", "a/later")
    assert is_refused(tracker, 11.0, "a/first", "a/culprit", "a/later")
    assert not is_refused(tracker, 11.0, "a/first", "a/later")
    tracker.segments.note_answered(("a/first",), 11.5)
    assert is_refused(tracker, 12.0, "a/culprit", "a/later")


def test_segment_that_crashed_targets_beside_varying_ones_is_blocked_later() -> None:
    tracker = CrashTracker()
    for number, at in enumerate((1.0, 5.0, 9.0, 13.0)):
        crash(tracker, at, "a/culprit", f"a/{number}")
    assert not is_refused(tracker, 15.0, "a/culprit", "a/9")
    crash(tracker, 17.0, "a/culprit", "a/5")
    assert is_refused(tracker, 19.0, "a/culprit", "a/9")


def test_bystander_of_crashes_that_blocked_segments_explain_is_served() -> None:
    """Guards against refusing what many callers send alike, beside the cause."""
    tracker = CrashTracker()
    for at in (1.0, 5.0, 9.0):
        crash(tracker, at, "a/first", "a/culprit")
        tracker.note_crash("bystander", "t-1", at - 0.1, at, segments=("a/first",))
    assert tracker.is_blocked("bystander", 9.1)
    assert is_refused(tracker, 11.0, "a/first", "a/culprit")
    assert not tracker.is_blocked("bystander", 11.0)
    assert "bystander" not in tracker.report(11.0).shut_out


def test_request_that_crashes_targets_without_the_blocked_segments_stays_blocked() -> (
    None
):
    tracker = CrashTracker()
    for at in (1.0, 5.0, 9.0):
        crash(tracker, at, "a/first", "a/culprit")
        tracker.note_crash("other", "t-2", at - 0.1, at)
    assert is_refused(tracker, 11.0, "a/first", "a/culprit")
    assert tracker.is_blocked("other", 11.0)


def test_segment_that_was_answered_until_lately_can_be_blocked() -> None:
    tracker = CrashTracker()
    tracker.segments.note_answered(("a/first", "a/culprit"), 0.5)
    for at in (1.0, 5.0, 9.0):
        tracker.segments.note_answered(("a/first",), at - 0.2)
        crash(tracker, at, "a/first", "a/culprit")
    assert is_refused(tracker, 11.0, "a/first", "a/culprit")
    assert not is_refused(tracker, 11.0, "a/first")


def test_requests_of_another_account_are_never_refused() -> None:
    tracker = CrashTracker()
    for at in (1.0, 5.0, 9.0, 13.0, 17.0, 21.0):
        crash(tracker, at, "a/first", "a/culprit")
    assert is_refused(tracker, 23.0, "a/first", "a/culprit")
    assert not is_refused(tracker, 23.0, "b/first", "b/culprit")


@pytest.mark.parametrize("shares_segments", [True, False])
def test_account_that_crashes_targets_gets_no_other_account_refused(
    shares_segments: bool,
) -> None:
    tracker = CrashTracker()
    for number in range(9):
        at = 1.0 + 4.0 * number
        own = (f"a/{number}",) if shares_segments else ()
        crash(tracker, at, *own)
        crash(tracker, at + 0.01, "b/first")
        assert not is_refused(tracker, at + 2.0, "b/first")


def test_request_on_the_same_target_as_a_culprit_is_no_suspect_afterwards() -> None:
    tracker = CrashTracker()
    for at in (1.0, 5.0, 9.0):
        crash(tracker, at, "a/first", "a/culprit")
        if at > 1.0:
            crash(tracker, at + 0.01, "b/first")
    assert is_refused(tracker, 11.0, "a/first", "a/culprit")
    crash(tracker, 13.0, "b/first", target="t-2")
    crash(tracker, 17.0, "b/first", target="t-3")
    assert not is_refused(tracker, 19.0, "b/first")


def test_targets_that_crash_once_together_are_no_evidence() -> None:
    tracker = CrashTracker()
    for number in range(9):
        crash(tracker, 1.0, "a/first", target=f"t-{number}")
    assert not is_refused(tracker, 3.0, "a/first")


def test_answer_at_one_entry_clears_a_segment_at_all() -> None:
    local, remote = CrashTracker(), CrashTracker()
    for at in (1.0, 5.0, 9.0):
        crash(local, at, "a/first")
    remote.merge("entry-1", local.report(10.7), 10.7)
    assert is_refused(remote, 10.7, "a/first")
    remote.segments.note_answered(("a/first",), 11.0)
    local.merge("entry-2", remote.report(11.5), 11.5)
    assert not is_refused(local, 12.0, "a/first")
    remote.merge("entry-1", local.report(12.0), 12.0)
    assert not is_refused(remote, 12.0, "a/first")


def test_withdrawn_strike_does_not_count_against_segments() -> None:
    tracker = CrashTracker()
    for at in (1.0, 5.0):
        crash(tracker, at, "a/first")
    tracker.note_alive("t-1", sent=5.2)
    crash(tracker, 9.0, "a/first", target="t-2")
    assert not is_refused(tracker, 11.0, "a/first")


def test_wrongly_blocked_segment_is_tried_once_by_one_entry() -> None:
    tracker = CrashTracker()
    for at in (1.0, 5.0, 9.0):
        crash(tracker, at, "a/first")
    assert is_refused(tracker, 11.0, "a/first")
    combination, later = ("a/first",), 11.0 + TRIAL_SECONDS
    assert not tracker.segments.start_trial(combination, later)
    tracker.segments.may_try = lambda segments: True
    assert not tracker.segments.start_trial(combination, later - 1.0)
    assert tracker.segments.start_trial(combination, later)
    assert not tracker.segments.start_trial(combination, later)
    other = CrashTracker()
    other.segments.may_try = lambda segments: True
    other.merge("entry-1", tracker.report(later), later)
    assert not other.segments.start_trial(combination, later)
    tracker.segments.note_answered(combination, later + 0.5)
    assert not is_refused(tracker, later + 1.0, "a/first")


def test_blocked_segment_that_is_no_longer_sent_is_forgotten() -> None:
    tracker = CrashTracker()
    for at in (1.0, 5.0, 9.0):
        crash(tracker, at, "a/first")
    assert is_refused(tracker, 100.0, "a/first")
    tracker.report(699.0)
    assert is_refused(tracker, 699.0, "a/first")
    tracker.report(1300.0)
    assert not is_refused(tracker, 1300.0, "a/first")
    assert not tracker.segments.strikes


def test_what_is_kept_of_segments_is_bounded_whatever_callers_send() -> None:
    tracker = CrashTracker()
    tracker.segments.note_answered(("b/sound",), 0.0)
    for number in range(2000):
        prompt = tuple(f"a/{number}-{place}" for place in range(4))
        tracker.segments.note_answered(prompt, float(number))
    for number in range(3000):
        prompt = tuple(f"a/{number}+{place}" for place in range(4))
        crash(tracker, 3000.0 + number / 100, *prompt)
    report = tracker.report(3040.0)
    assert len(tracker.segments.proven.by_account["a"]) <= MAX_PER_ACCOUNT
    assert tracker.segments.proven.last("b/sound") == 0.0
    assert len(tracker.segments.strikes) <= 256
    assert len(report.answered) <= 64
    assert len(report.blocked) <= 64


def test_segments_of_very_many_accounts_are_bounded() -> None:
    proven = ProvenSegments()
    for number in range(MAX_SEGMENTS + 5000):
        proven.note(f"account-{number}/s", float(number))
    assert proven.count == sum(map(len, proven.by_account.values())) == MAX_SEGMENTS


def test_reports_of_the_previous_version_have_no_segments() -> None:
    tracker = CrashTracker()
    tracker.merge("entry-1", CrashWords(shut_out={"d": 0.5}), 10.0)
    assert tracker.is_blocked("d", 10.0)
    assert not tracker.report(10.0).blocked


def test_culprit_is_blocked_though_others_ran_at_most_crashes() -> None:
    tracker = CrashTracker()
    for number, at in enumerate((1.0, 5.0, 9.0, 13.0, 17.0)):
        crash(tracker, at, "a/first", "a/culprit")
        crash(tracker, at + 0.01, f"{'bc'[number % 2]}/first")
    assert is_refused(tracker, 19.0, "a/first", "a/culprit")
    assert not is_refused(tracker, 19.0, "b/first")
    assert not is_refused(tracker, 19.0, "c/first")


def test_requests_with_a_culprit_that_come_minutes_apart_are_blocked() -> None:
    tracker = CrashTracker()
    for at in (1.0, 200.0, 400.0):
        crash(tracker, at, "a/first", "a/culprit")
        tracker.report(at + 150.0)
    assert is_refused(tracker, 650.0, "a/first", "a/culprit")


@given(raw=st.text(max_size=300) | st.text("ab:,/ ", max_size=300))
def test_any_list_of_segments_gives_bounded_keys_of_the_account(raw: str) -> None:
    keys = shared_segments("salon/one", raw)
    assert len(keys) == len(set(keys)) <= MAX_PROMPT_SEGMENTS
    assert all(key.rpartition("/")[0] == "salon/one" for key in keys)
    assert all(len(key) <= len("salon/one/") + MAX_ID_LENGTH for key in keys)


@pytest.mark.parametrize("path", ["/chat/1", "/list/1"])
def test_segments_are_read_for_model_services_only(path: str) -> None:
    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        seen: list[tuple[str, ...]] = []
        entry.crashes.segments.note_answered = lambda segments, now: seen.append(
            segments
        )
        headers = {"x-prefix-hash": "F1:40,b2:90,c3:10"}
        if path == "/chat/1":
            headers["x-token-count"] = "100,30"
        response = await world.call("entry-1", path, headers)
        assert response.status == 200
        expected = ("salon/f1", "salon/b2") if path == "/chat/1" else ()
        assert set(seen) == {expected}

    run_in_direct_world(scenario)


def test_many_crashes_at_once_are_judged_a_few_prompts_at_a_time() -> None:
    """Guards against an entry that stalls while it judges a mass failure."""
    tracker = CrashTracker()
    for number in range(256):
        crash(tracker, 1.0, f"a/{number}", target=f"t-{number}")
    waiting = []
    for step in range(70):
        tracker.report(3.0 + step / 10)
        waiting.append(len(tracker.segments.unreviewed))
    assert waiting[0] == 256 - MAX_REVIEWED
    assert waiting[-1] == 0


def test_culprit_is_blocked_though_requests_alike_in_body_are_answered() -> None:
    """Guards against segments exonerated by answers to the same path and body."""
    tracker = CrashTracker()
    for at in (1.0, 5.0, 9.0):
        tracker.note_complete_response("digest", at - 0.5)
        tracker.note_crash("digest", "t-1", at - 0.1, at, segments=("a/f", "a/culprit"))
        tracker.segments.note_answered(("a/f",), at + 0.3)
    assert is_refused(tracker, 11.0, "a/f", "a/culprit")
    assert not is_refused(tracker, 11.0, "a/f")


def test_crashes_are_reported_for_a_while_only() -> None:
    """Guards against reports that stay large for minutes after many crashes."""
    tracker = CrashTracker()
    for number in range(100):
        crash(tracker, 1.0, f"a/{number}", target=f"t-{number}")
    assert not tracker.report(1.5).prompts
    assert len(tracker.report(3.0).prompts) == 64
    assert not tracker.report(32.0).prompts


def test_first_segment_is_not_blocked_after_the_culprit_that_comes_with_it() -> None:
    """Guards against crashes that count again for a segment they were explained by."""
    tracker = CrashTracker()
    for number in range(8):
        at = 1.0 + 4.0 * number
        crash(tracker, at, "a/first", "a/culprit")
        crash(tracker, at + 0.01, "a/first")
        assert not is_refused(tracker, at + 2.0, "a/first")
    crash(tracker, 33.0, "a/first", target="t-2")
    assert not is_refused(tracker, 35.0, "a/first")
    assert is_refused(tracker, 35.0, "a/first", "a/culprit")
