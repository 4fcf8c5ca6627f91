"""Running of attempts, each key at most once."""

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
from briarthread_common.messages.attempt import Attempt
from briarthread_common.text.service import Service
from briarthread_common.utils.clock import Clock

MIN_TIME_LEFT_FACTOR = 0.7
"""Part of the mean service time that must be left for a run to begin."""


class StartGuard(Protocol):
    """Decide whether an attempt may start on this agent now."""

    def check_start(self, attempt: Attempt) -> None:
        """Raise RequestError when the attempt must not start."""
        ...


class AttemptRunner:
    """
    Run each new key once and let later attempts of it join the run.

    The run has a task of its own, so that it outlives the connection that
    asked for it where the request is not idempotent.
    """

    def __init__(
        self,
        clock: Clock,
        record_store: RecordStore,
        queue: FairQueue,
        target: TargetClient,
        guard: StartGuard,
        tasks: TaskGroup,
    ) -> None:
        self.clock = clock
        self.record_store = record_store
        self.queue = queue
        self.target = target
        self.guard = guard
        self.tasks = tasks

    def submit(
        self, attempt: Attempt, service: Service, headers: Headers, body: bytes
    ) -> Record:
        """
        Return the record of the attempt's key, starting its run if new.

        Raise RequestError when the attempt is refused; nothing of it then
        ran or will run.
        """
        fingerprint = attempt.fingerprint(body)
        record = self.record_store.find(attempt, fingerprint)
        if record is not None:
            return record
        self.guard.check_start(attempt)
        expires = self._expiry(attempt, service)
        record = Record(attempt, fingerprint, expires, service.answer_bytes)
        self.record_store.add(record)
        self.tasks.start_soon(self._run, record, headers, body)
        return record

    def remove_reader(self, record: Record) -> None:
        """Note that a reader is gone; cancel a run that none waits for."""
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
        if not record.response.ended:
            record.response.fail(self._cancelled(record))
        record.state = RecordState.ENDED
        if self._never_reached(record):
            self.record_store.discard(record)

    def _check_still_allowed(self, record: Record) -> None:
        """Check again after the wait; a revoke or a freeze may lie between."""
        if record.scope.cancel_called:
            raise RequestError(ErrorKind.REVOKED, "attempt was revoked")
        if self.clock.now() >= record.attempt.deadline:
            raise RequestError(
                ErrorKind.DEADLINE_PASSED, "deadline passed in the queue"
            )
        left = record.attempt.deadline - self.clock.now()
        if left < MIN_TIME_LEFT_FACTOR * self.queue.mean_service_time():
            raise RequestError(
                ErrorKind.DEADLINE_UNMEETABLE,
                "too little time left to run",
                retry_after=self.queue.backlog_seconds(),
            )
        self.guard.check_start(record.attempt)

    def _expiry(self, attempt: Attempt, service: Service) -> float:
        kept = attempt.deadline + MAX_CLOCK_SKEW
        if attempt.keyed and not attempt.idempotent:
            return max(kept, self.clock.now() + service.retry_horizon)
        return kept

    def _cancelled(self, record: Record) -> RequestError:
        """Return what a cancelled run was: not run only if it never began."""
        if record.state is RecordState.QUEUED:
            return RequestError(ErrorKind.REVOKED, "cancelled in the queue")
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, "cancelled while it ran")

    def _never_reached(self, record: Record) -> bool:
        error = record.response.error
        return error is not None and error.kind is ErrorKind.NO_TARGET


async def wait_for_drain(queue: FairQueue, timeout: float) -> bool:
    """Wait until no attempt runs or waits; tell whether that came in time."""
    with anyio.move_on_after(timeout):
        while queue.running or queue.waiting:
            await anyio.sleep(0.05)
        return True
    return False
