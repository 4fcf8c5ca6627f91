"""What shows that a target of a plain service crashed without a word."""

from direct_builders import build_direct_request, build_state

from briarthread_entry.direct.crashes.silent_runs import (
    MAX_RUNS,
    RETENTION_SECONDS,
    SilentRuns,
)


def test_run_at_a_target_that_is_gone_is_returned_once() -> None:
    runs, state = SilentRuns(), build_state()
    runs.note(build_direct_request(), state, 1.0)
    assert runs.take_crashed(lambda state: False, 2.0) == []
    assert [run.began for run in runs.take_crashed(lambda state: True, 4.0)] == [1.0]
    assert runs.take_crashed(lambda state: True, 4.0) == []


def test_answer_to_a_later_call_shows_that_the_target_was_slow_only() -> None:
    """Guards against blocking what a slow target answers too late."""
    runs, state = SilentRuns(), build_state()
    runs.note(build_direct_request(), state, 1.0)
    runs.note(build_direct_request(), state, 3.0)
    state.presence.note_answer(sent_at=2.0)
    assert [run.began for run in runs.take_crashed(lambda state: True, 4.0)] == [3.0]


def test_runs_are_kept_for_a_while_and_bounded() -> None:
    runs, state = SilentRuns(), build_state()
    for _ in range(MAX_RUNS + 10):
        runs.note(build_direct_request(), state, 1.0)
    assert len(runs.runs) == MAX_RUNS
    assert runs.take_crashed(lambda state: True, 1.0 + RETENTION_SECONDS) == []
