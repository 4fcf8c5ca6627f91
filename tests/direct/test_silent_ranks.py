"""Which runs are suspected when ranks fall silent or drop their connections."""

from direct_builders import build_direct_request, build_relay, build_target

from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.crash_words import CrashWords, merge_crash_words
from briarthread_common.messages.group_stop_report import GroupStopReport
from briarthread_entry.direct.attempts.attempt_progress import AttemptProgress
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker
from briarthread_entry.direct.crashes.group_stops import GroupStops
from briarthread_entry.direct.crashes.known_stops import KnownStops
from briarthread_entry.direct.crashes.rank_run import RankRun
from briarthread_entry.direct.crashes.silent_ranks import (
    LOST_SECONDS,
    RETENTION_SECONDS,
    RankCrash,
    SilentRanks,
)

GROUP = GroupId("model")
NOTHING = AttemptProgress()


def new_ranks() -> SilentRanks:
    return SilentRanks(KnownStops())


def send(
    ranks: SilentRanks, rank: str, began: float, progress: AttemptProgress = NOTHING
) -> RankRun:
    """Send a request to a rank, which answers as far as ``progress`` says."""
    target, relay = build_target(rank, address=f"{rank}:80"), build_relay(progress)
    return ranks.start(build_direct_request(), target, GROUP, began, relay)


def refuse(
    ranks: SilentRanks, sent: float, now: float, faulty: str = "silent"
) -> list[RankCrash]:
    """Let a sound rank refuse a request; return the crashes that this shows."""
    run = send(ranks, "sound", sent)
    ranks.end(run, now)
    return ranks.note_refusal(run, faulty, now)


def test_run_at_the_named_rank_is_suspected_once() -> None:
    ranks = new_ranks()
    run = send(ranks, "silent", 1.0, AttemptProgress(1.1))
    (crash,) = refuse(ranks, 2.0, 2.6)
    assert crash.run is run
    assert crash.silent
    assert 1.1 < crash.at < 2.0
    assert refuse(ranks, 2.7, 2.7) == []


def test_rank_that_is_named_by_its_address_is_found() -> None:
    ranks = new_ranks()
    send(ranks, "silent", 1.0)
    assert refuse(ranks, 2.0, 2.6, "silent:80")


def test_stream_that_has_returned_several_events_is_no_suspect() -> None:
    ranks = new_ranks()
    send(ranks, "silent", 1.0, AttemptProgress(1.1, 4, 1.2))
    assert refuse(ranks, 2.0, 2.7) == []


def test_request_that_was_sent_while_the_group_stood_still_is_no_suspect() -> None:
    """Guards against blaming what hangs at a rank that had fallen silent before."""
    ranks = new_ranks()
    refuse(ranks, 2.0, 2.6)
    send(ranks, "silent", 2.8)
    send(ranks, "other", 2.9)
    assert refuse(ranks, 4.2, 4.2) == []
    assert refuse(ranks, 5.4, 5.4) == []


def test_request_of_one_stop_is_no_suspect_of_the_next_one() -> None:
    """Guards against a pause between refusals that is taken for a restart."""
    ranks = new_ranks()
    refuse(ranks, 1.0, 2.6)
    send(ranks, "other", 3.0)
    assert refuse(ranks, 6.0, 6.0, "other") == []


def test_connection_dropped_during_a_stop_shows_no_crash() -> None:
    ranks = new_ranks()
    refuse(ranks, 1.0, 2.6)
    run = send(ranks, "other", 3.0)
    ranks.end(run, 3.3)
    assert ranks.note_connection_lost(run, 3.3) == []


def test_request_that_was_sent_after_a_known_restart_is_a_suspect() -> None:
    ranks = new_ranks()
    refuse(ranks, 1.0, 2.5)
    refuse(ranks, 4.4, 4.4)
    run = send(ranks, "next", 4.6)
    assert [crash.run for crash in refuse(ranks, 5.0, 6.3, "next")] == [run]


def test_run_that_ended_before_the_stop_is_no_suspect() -> None:
    """Guards against a later crash that is blamed on runs of an earlier one."""
    ranks = new_ranks()
    run = send(ranks, "silent", 1.0)
    ranks.end(run, 2.0)
    ranks.note_event(GROUP, 3.0)
    assert refuse(ranks, 4.0, 5.2) == []


def test_other_rank_that_keeps_its_connections_open_is_suspected_too() -> None:
    ranks = new_ranks()
    run = send(ranks, "other", 1.0, AttemptProgress(1.1))
    assert refuse(ranks, 2.0, 2.6) == []
    (crash,) = refuse(ranks, 2.9, 2.9)
    assert crash.run is run
    assert crash.at < 2.0


def test_rank_that_misses_the_first_pass_afterwards_is_suspected() -> None:
    """Guards against a second silent rank that no further refusal shows."""
    ranks = new_ranks()
    run = send(ranks, "other", 1.0, AttemptProgress(1.1))
    refuse(ranks, 2.0, 2.6)
    (crash,) = ranks.note_event(GROUP, 4.5)
    assert crash.run is run
    assert crash.at < 2.0
    assert ranks.note_event(GROUP, 4.6) == []


def test_ranks_lost_in_one_outage_are_dated_to_its_begin() -> None:
    """Guards against crashes that count as successive while the group stands still."""
    ranks = new_ranks()
    send(ranks, "silent", 1.0)
    send(ranks, "other", 1.0)
    crashes = refuse(ranks, 1.2, 2.6)
    for now in (3.4, 4.2, 5.0):
        crashes += refuse(ranks, now - 0.5, now, "other")
    assert len(crashes) == 2
    assert crashes[0].at == crashes[1].at


def test_stop_that_another_entry_has_seen_exonerates_too() -> None:
    """Guards against entries that send too little to see that the group stood still."""
    ranks, other = new_ranks(), new_ranks()
    refuse(other, 2.0, 2.6)
    refuse(other, 3.5, 3.5)
    send(ranks, "silent", 3.0)
    ranks.stops.merge(other.stops.report(3.6), 3.6)
    assert refuse(ranks, 4.9, 4.9) == []


def test_refused_run_is_no_suspect() -> None:
    ranks = new_ranks()
    run = send(ranks, "sound", 1.0)
    ranks.end(run, 2.6)
    assert ranks.note_refusal(run, "silent", 2.6) == []
    assert refuse(ranks, 2.7, 2.9, "sound") == []


def test_connection_that_a_rank_drops_early_shows_that_it_crashed() -> None:
    ranks = new_ranks()
    run = send(ranks, "t-1", 1.0)
    ranks.end(run, 1.5)
    (crash,) = ranks.note_connection_lost(run, 1.5)
    assert (crash.at, crash.silent) == (1.5, False)


def test_connection_that_a_waiting_rank_drops_shows_nothing() -> None:
    ranks = new_ranks()
    run = send(ranks, "t-1", 1.0, AttemptProgress(1.1))
    ranks.end(run, 2.6)
    assert ranks.note_connection_lost(run, 2.6) == []


def test_connection_that_a_silent_rank_drops_as_it_restarts_is_no_second_crash() -> (
    None
):
    """Guards against requests blamed for a crash that was over as they were sent."""
    ranks = new_ranks()
    refuse(ranks, 1.0, 2.6)
    run = send(ranks, "silent", 3.9)
    ranks.end(run, 4.1)
    assert ranks.note_connection_lost(run, 4.1) == []


def test_connection_lost_long_after_the_response_began_shows_a_silent_crash() -> None:
    ranks = new_ranks()
    run = send(ranks, "t-1", 1.0, AttemptProgress(1.1))
    now = 1.1 + LOST_SECONDS
    ranks.end(run, now)
    (crash,) = ranks.note_connection_lost(run, now)
    assert (crash.at, crash.silent) == (1.1, True)


def test_caller_that_leaves_a_rank_which_kept_its_connection_reports_it() -> None:
    ranks = new_ranks()
    run = send(ranks, "other", 1.0, AttemptProgress(1.1))
    refuse(ranks, 2.0, 2.6)
    assert [crash.run for crash in ranks.note_abandoned(run, 3.0)] == [run]


def test_caller_that_leaves_while_nothing_is_refused_shows_nothing() -> None:
    ranks = new_ranks()
    run = send(ranks, "t-1", 1.0, AttemptProgress(1.1))
    assert ranks.note_abandoned(run, 9.0) == []


def test_progress_of_a_later_attempt_does_not_count_for_an_earlier_one() -> None:
    """Guards against a repeat elsewhere that makes the silent rank look alive."""
    ranks = new_ranks()
    run = send(ranks, "silent", 1.0, AttemptProgress(1.1))
    ranks.end(run, 2.4)
    run.relay.progress = AttemptProgress(2.5, 6, 2.6)
    assert [crash.run for crash in refuse(ranks, 2.0, 2.6)] == [run]


def test_runs_are_kept_for_a_while_after_their_end() -> None:
    ranks = new_ranks()
    ranks.end(send(ranks, "silent", 1.0), 2.0)
    refuse(ranks, 2.0 + RETENTION_SECONDS, 2.1 + RETENTION_SECONDS, "none")
    assert ranks.runs == []


def test_event_ends_a_stop_that_was_expected_to_last() -> None:
    stops = GroupStops()
    stops.note_refusal(sent=1.0, now=2.5)
    assert stops.is_stopped(3.0)
    stops.note_event(2.7)
    assert not stops.is_stopped(3.0)
    assert stops.is_stopped(2.6)


def test_stops_of_several_entries_are_reported_as_one() -> None:
    one = CrashWords(stopped={"model": (GroupStopReport(3.0, 1.5),)})
    other = CrashWords(stopped={"model": (GroupStopReport(2.0, 0.5),)})
    both = merge_crash_words([one, other]).aged(1.0)
    assert both.stopped == {"model": (GroupStopReport(4.0, 1.5),)}
    apart = CrashWords(stopped={"model": (GroupStopReport(9.0, 8.0),)})
    assert len(merge_crash_words([one, apart]).stopped["model"]) == 2


def test_report_holds_own_stops_only_and_for_a_while() -> None:
    """Guards against a stop that grows as entries tell each other of it."""
    tracker, other = CrashTracker(), CrashTracker()
    tracker.stops.of(GROUP).note_refusal(sent=2.0, now=2.5)
    other.merge("entry-1", tracker.report(2.5), 2.5)
    assert other.stops.of(GROUP).is_stopped(2.0)
    assert not other.report(2.5).stopped
    assert tracker.report(3.0).stopped
    assert not tracker.report(20.0).stopped
