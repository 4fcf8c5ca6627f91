"""Supervision of the background tasks of a process."""

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.error_text import describe, format_traceback, origin
from briarthread_common.core.metrics import Metrics
from briarthread_common.core.task_failures import TaskFailures

MAX_KNOWN_ORIGINS = 64
"""Number of different errors of which the log gets a traceback."""
MIN_PAUSE_FACTOR = 0.5
"""Smallest factor on a pause, so that processes that fail at the same time do not all
restart their tasks at the same time."""

Run = Callable[[], Awaitable[None]]


class TaskSupervisor:
    """
    Keep an unexpected error of one background task from ending its process.

    The task is started again after a pause that grows with the failures in a row, so
    its function must restore what a former run left behind. Each failure is logged and
    counted; the traceback of an error is logged once. A process without one of its
    essential tasks serves wrongly, so it is not ready while one of these fails
    repeatedly. Cancellation, KeyboardInterrupt and SystemExit pass.

    Example::

        supervisor = TaskSupervisor(metrics, rng)
        supervisor.start(tasks, "replication", replicator.run, essential=True)
    """

    def __init__(self, metrics: Metrics, rng: random.Random) -> None:
        self.metrics = metrics
        self.rng = rng
        self.essential_tasks: set[str] = set()
        self.failures: dict[TaskFailures, None] = {}
        self.known_origins: set[tuple[str, str]] = set()

    def start(
        self, tasks: TaskGroup, name: str, run: Run, *, essential: bool = False
    ) -> None:
        """Start a task in a task group; the name must be one of a few."""
        if essential:
            self.essential_tasks.add(name)
        tasks.start_soon(self.keep_running, name, run)

    async def keep_running(self, name: str, run: Run) -> None:
        """Run a function until it returns; run it again after an unexpected error."""
        failures = TaskFailures(name, anyio.current_time())
        try:
            while not await self._run(failures, run):
                failures.note_start(anyio.current_time())
        finally:
            self.failures.pop(failures, None)

    async def run_once(self, name: str, run: Run) -> None:
        """Run a function that must not be repeated; report an unexpected error."""
        with self.reporting_errors(name):
            await run()

    @contextmanager
    def reporting_errors(self, name: str) -> Iterator[None]:
        """Report an unexpected error of a block, which then ends there."""
        try:
            yield
        except Exception as error:
            self.report(name, error, "is not repeated")

    def report(self, name: str, error: Exception, consequence: str) -> None:
        """Log and count an unexpected error of a task."""
        self.metrics.task_failures.labels(name).inc()
        known = (name, origin(error))
        is_new = known not in self.known_origins
        trace = ""
        if is_new and len(self.known_origins) < MAX_KNOWN_ORIGINS:
            self.known_origins.add(known)
            trace = f"\n{format_traceback(error)}"
        logger.bind(task=name).error(
            "tasks: {} failed, {}: {}{}", name, consequence, describe(error), trace
        )

    def failing_tasks(self) -> dict[str, int]:
        """Return the number of failures in a row of each task that is failing."""
        now = anyio.current_time()
        failing: dict[str, int] = {}
        for failures in self.failures:
            if failures.is_failing(now):
                worst = max(failing.get(failures.task, 0), failures.in_a_row)
                failing[failures.task] = worst
        return failing

    def fault(self) -> str:
        """Return which essential tasks are failing, empty if none is."""
        failing = sorted(self.essential_tasks & self.failing_tasks().keys())
        return f"failing: {', '.join(failing)}" if failing else ""

    async def _run(self, failures: TaskFailures, run: Run) -> bool:
        """Run a function; return whether it ended, after a pause if it failed."""
        try:
            await run()
        except Exception as error:
            self.failures[failures] = None
            pause = failures.note_failure(anyio.current_time())
            pause *= self.rng.uniform(MIN_PAUSE_FACTOR, 1.0)
            consequence = f"failure {failures.in_a_row}, restarted in {pause:.2f} s"
            self.report(failures.task, error, consequence)
        else:
            return True
        await anyio.sleep(pause)
        return False
