"""An unexpected error of a background task neither ends its process nor is hidden."""

from collections.abc import Awaitable, Callable

import anyio
import pytest
from builders import build_supervisor
from failing_tasks import ALWAYS, FailingRun, UnknownError, collecting_logs

from briarthread_common.core.error_text import MAX_ERROR_CHARACTERS
from briarthread_common.core.task_failures import MAX_PAUSE_SECONDS, STEADY_SECONDS
from briarthread_common.core.task_supervisor import MIN_PAUSE_FACTOR, TaskSupervisor
from briarthread_standins.virtual_time import run_virtual

TASK = "replication"
RUN_SECONDS = 60.0


def supervise(run: Callable[[], Awaitable[None]], seconds: float) -> TaskSupervisor:
    """Supervise an essential task for some seconds and return the supervisor."""
    supervisor = build_supervisor()

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            supervisor.start(tasks, TASK, run, essential=True)
            await anyio.sleep(seconds)
            tasks.cancel_scope.cancel()

    run_virtual(scenario)
    return supervisor


def test_failing_task_is_restarted_after_pauses_that_grow_up_to_a_bound() -> None:
    run = FailingRun()
    supervise(run, RUN_SECONDS)
    pauses = [b - a for a, b in zip(run.starts, run.starts[1:], strict=False)]
    assert pauses[0] <= 0.1
    assert max(pauses) <= MAX_PAUSE_SECONDS
    assert min(pauses[6:]) >= MIN_PAUSE_FACTOR * MAX_PAUSE_SECONDS


def test_task_is_restarted_however_long_its_cause_lasts() -> None:
    """Guards against pauses that have no value after a thousand doublings."""
    run = FailingRun()
    supervise(run, 2000 * MAX_PAUSE_SECONDS)
    assert len(run.starts) > 2000


def test_each_failure_is_counted_and_logged_and_its_traceback_once() -> None:
    run = FailingRun()
    with collecting_logs() as lines:
        supervisor = supervise(run, RUN_SECONDS)
    assert len(lines) == len(run.starts)
    assert all(
        f"ERROR tasks: {TASK} failed, failure {number}, restarted in" in line
        and "UnknownError: cause unknown" in line
        for number, line in enumerate(lines, 1)
    )
    assert "Traceback" in lines[0]
    assert not any("Traceback" in line for line in lines[1:])
    counted = f'briarthread_task_failures_total{{task="{TASK}"}} {len(lines)}.0'
    assert counted.encode() in supervisor.metrics.render()


def test_line_on_a_failure_is_bounded_whatever_the_error_quotes() -> None:
    async def quote() -> None:
        raise ValueError("x\n" * 10**6)

    with collecting_logs() as lines:
        supervise(quote, RUN_SECONDS)
    assert len(lines[1]) < MAX_ERROR_CHARACTERS + 200
    assert len(lines[0]) < 10_000
    assert lines[1].count("\n") == 1


def test_process_is_not_ready_while_an_essential_task_fails_repeatedly() -> None:
    async def scenario() -> None:
        supervisor = build_supervisor()
        run = FailingRun(failures=8)
        other = FailingRun()
        async with anyio.create_task_group() as tasks:
            supervisor.start(tasks, TASK, run, essential=True)
            supervisor.start(tasks, "reports", other)
            await anyio.sleep(0.01)
            assert supervisor.fault() == ""
            while len(run.starts) <= 8:
                await anyio.sleep(1.0)
                assert supervisor.fault() == f"failing: {TASK}"
            await anyio.sleep(STEADY_SECONDS)
            assert supervisor.fault() == ""
            assert supervisor.failing_tasks() == {"reports": len(other.starts)}
            tasks.cancel_scope.cancel()
        assert supervisor.failing_tasks() == {}

    run_virtual(scenario)


def test_task_that_ran_for_long_is_restarted_at_once() -> None:
    async def run_for_long() -> None:
        starts.append(anyio.current_time())
        await anyio.sleep(STEADY_SECONDS + 1)
        raise UnknownError

    starts: list[float] = []
    with collecting_logs() as lines:
        supervise(run_for_long, 10 * STEADY_SECONDS)
    assert len(starts) == 10
    assert all("failure 1, restarted" in line for line in lines)


def test_task_that_ends_is_not_restarted() -> None:
    async def end() -> None:
        starts.append(anyio.current_time())

    starts: list[float] = []
    supervise(end, RUN_SECONDS)
    assert len(starts) == 1


@pytest.mark.parametrize("failures", [0, ALWAYS])
def test_cancellation_ends_a_task_that_runs_or_pauses(failures: int) -> None:
    async def scenario() -> None:
        run = FailingRun(failures=failures)
        with anyio.move_on_after(RUN_SECONDS) as scope:
            await build_supervisor().keep_running(TASK, run)
        starts = len(run.starts)
        await anyio.sleep(RUN_SECONDS)
        assert scope.cancelled_caught
        assert len(run.starts) == starts

    run_virtual(scenario)


def test_error_while_a_task_is_cancelled_does_not_restart_it() -> None:
    async def fail_on_cancellation() -> None:
        starts.append(anyio.current_time())
        try:
            await anyio.sleep_forever()
        finally:
            raise UnknownError

    starts: list[float] = []
    supervise(fail_on_cancellation, 1.0)
    assert len(starts) == 1


@pytest.mark.parametrize("error", [SystemExit, KeyboardInterrupt])
@pytest.mark.parametrize("nested", [False, True])
def test_orders_to_end_the_process_pass(
    error: type[BaseException], nested: bool
) -> None:
    async def end_process() -> None:
        if nested:
            raise BaseExceptionGroup("tasks", [error(), UnknownError()])
        raise error

    with pytest.raises((error, BaseExceptionGroup)):
        supervise(end_process, RUN_SECONDS)


def test_errors_of_child_tasks_count_as_those_of_their_task() -> None:
    async def run_children() -> None:
        starts.append(anyio.current_time())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(FailingRun())
            tasks.start_soon(anyio.sleep_forever)

    starts: list[float] = []
    with collecting_logs() as lines:
        supervise(run_children, RUN_SECONDS)
    assert len(starts) > 1
    assert "UnknownError: cause unknown" in lines[0]


def test_function_that_must_not_be_repeated_runs_once() -> None:
    async def scenario() -> None:
        await supervisor.run_once("hand-over", run)

    supervisor, run = build_supervisor(), FailingRun()
    with collecting_logs() as lines:
        run_virtual(scenario)
    assert len(run.starts) == 1
    assert "tasks: hand-over failed, is not repeated: UnknownError" in lines[0]
