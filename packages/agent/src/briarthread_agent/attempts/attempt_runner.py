"""Execution of attempts, each key at most once."""

from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from briarthread_agent.attempts.record import Record, RecordState
from briarthread_agent.attempts.record_store import MAX_CLOCK_SKEW, RecordStore
from briarthread_agent.attempts.response_buffer import Headers
from briarthread_agent.attempts.target_client import TargetClient
from briarthread_agent.limits.fair_queue import FairQueue
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.core.task_supervisor import TaskSupervisor
from briarthread_common.messages.attempt import Attempt
from briarthread_common.text.service import Service
from briarthread_common.utils.clock import Clock

MIN_TIME_LEFT_FACTOR = 0.7
"""Factor of the mean service time that must be left for a run to start."""

ATTEMPT_TASK = "attempt"
"""Name under which errors of single runs are reported."""


class StartGuard(Protocol):
    """Decide whether an attempt may start on this agent now."""

    def check_start(self, attempt: Attempt) -> None:
        """Raise RequestError if the attempt must not start."""
        ...


class AttemptRunner:
    """
    Run each new key once and let later attempts with the key join the run.

    Each run has its own task, so that the run of a request that is not idempotent
    continues after the connection that requested it is closed.
    """

    def __init__(
        self,
        clock: Clock,
        record_store: RecordStore,
        queue: FairQueue,
        target: TargetClient,
        guard: StartGuard,
        tasks: TaskGroup,
        supervisor: TaskSupervisor,
    ) -> None:
        self.clock = clock
        self.record_store = record_store
        self.queue = queue
        self.target = target
        self.guard = guard
        self.tasks = tasks
        self.supervisor = supervisor

    def submit(
        self, attempt: Attempt, service: Service, headers: Headers, body: bytes
    ) -> Record:
        """
        Return the record of the attempt's key, starting a run if there is none.

        Raise RequestError if the attempt is refused; it then has not run and
        never will.
        """
        fingerprint = attempt.fingerprint(body)
        record = self.record_store.find(attempt, fingerprint)
        if record is not None:
            return record
        self.guard.check_start(attempt)
        expires = self._expiry_of(attempt, service)
        record = Record(attempt, fingerprint, expires, service.answer_bytes)
        self.record_store.add(record)
        self.tasks.start_soon(self._run, record, headers, body)
        return record

    def remove_reader(self, record: Record) -> None:
        """Remove a reader; cancel the run if it has none left and may be cancelled."""
        record.readers -= 1
        if record.readers == 0 and not record.response.ended and not record.must_finish:
            record.scope.cancel()
            if record.state is RecordState.QUEUED:
                self.record_store.discard(record)

    async def _run(self, record: Record, headers: Headers, body: bytes) -> None:
        attempt = record.attempt
        try:
            with record.scope:
                async with self.queue.slot(
                    attempt.account, attempt.weight, attempt.priority, attempt.deadline
                ):
                    self._check_still_allowed(record)
                    record.state = RecordState.RUNNING
                    await self.target.run(attempt, headers, body, record.response)
        except RequestError as error:
            record.response.fail(error)
            self.record_store.discard(record)
            return
        except Exception as error:
            self.supervisor.report(ATTEMPT_TASK, error, "its outcome is unknown")
            if not record.response.ended:
                record.response.fail(
                    RequestError(ErrorKind.OUTCOME_UNKNOWN, "the run failed")
                )
        if not record.response.ended:
            record.response.fail(self._cancellation_error(record))
        record.state = RecordState.ENDED
        if self._target_not_reached(record):
            self.record_store.discard(record)

    def _check_still_allowed(self, record: Record) -> None:
        """Check again after queueing, since a revoke or a freeze may have occurred."""
        if record.scope.cancel_called:
            raise RequestError(ErrorKind.REVOKED, "attempt was revoked")
        if self.clock.now() >= record.attempt.deadline:
            raise RequestError(
                ErrorKind.DEADLINE_PASSED, "deadline passed while queued"
            )
        remaining = record.attempt.deadline - self.clock.now()
        if remaining < MIN_TIME_LEFT_FACTOR * self.queue.mean_service_time():
            raise RequestError(
                ErrorKind.DEADLINE_UNMEETABLE,
                "time remaining before the deadline is too short to run",
                retry_after=self.queue.backlog_seconds(),
            )
        self.guard.check_start(record.attempt)

    def _expiry_of(self, attempt: Attempt, service: Service) -> float:
        expiry = attempt.deadline + MAX_CLOCK_SKEW
        if attempt.keyed and not attempt.idempotent:
            return max(expiry, self.clock.now() + service.retry_horizon)
        return expiry

    def _cancellation_error(self, record: Record) -> RequestError:
        """Return the error of a cancelled run: not run only if it never started."""
        if record.state is RecordState.QUEUED:
            return RequestError(ErrorKind.REVOKED, "cancelled while queued")
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, "cancelled while running")

    def _target_not_reached(self, record: Record) -> bool:
        error = record.response.error
        return error is not None and error.kind is ErrorKind.NO_TARGET


async def wait_for_drain(queue: FairQueue, timeout: float) -> bool:
    """Wait until no attempt is running or queued; return whether it was in time."""
    with anyio.move_on_after(timeout):
        while queue.running or queue.waiting:
            await anyio.sleep(0.05)
        return True
    return False
