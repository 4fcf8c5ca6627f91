"""Execution of a request by attempts at direct targets."""

import random

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import RequestError
from briarthread_common.core.metrics import Metrics
from briarthread_common.core.outcome import NOT_RUN_STATUSES
from briarthread_common.direct.group_id import GroupId
from briarthread_common.http.app import ResponseAborted
from briarthread_common.http.call import Call
from briarthread_entry.direct.admission.group_admission import GroupAdmission
from briarthread_entry.direct.attempts.attempt_outcome import (
    DirectOutcome,
    NotRun,
    OutcomeUnknown,
    StreamRelayed,
    TargetResponse,
)
from briarthread_entry.direct.attempts.attempt_recorder import (
    SERVER_ERROR,
    AttemptRecorder,
)
from briarthread_entry.direct.attempts.attempt_runner import AttemptRunner
from briarthread_entry.direct.attempts.attempt_sender import AttemptSender
from briarthread_entry.direct.attempts.silent_attempts import SilentAttempts
from briarthread_entry.direct.crashes.crash_rule import MAX_CRASHES
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker
from briarthread_entry.direct.groups.group_capacity import GroupCapacityTracker
from briarthread_entry.direct.groups.slow_ranks import SlowRanks
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.responses.response_relay import ResponseRelay
from briarthread_entry.direct.retries.final_error import final_error
from briarthread_entry.direct.retries.retry_decider import RetryDecider
from briarthread_entry.direct.retries.shared_retry_budget import SharedRetryBudget
from briarthread_entry.direct.routing.target_chooser import TargetChooser
from briarthread_entry.direct.routing.targets_closed import TargetsClosed
from briarthread_entry.direct.targets.target_state import DirectTargetState


class RequestRunner:
    """
    Send a request to one target after the other while a retry is safe and allowed.

    Whether it is, RetryDecider decides.
    """

    def __init__(
        self,
        chooser: TargetChooser,
        sender: AttemptSender,
        crashes: CrashTracker,
        budget: SharedRetryBudget,
        admission: GroupAdmission,
        capacity: GroupCapacityTracker,
        slow_ranks: SlowRanks,
        metrics: Metrics,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self.chooser = chooser
        self.sender = sender
        self.crashes = crashes
        self.budget = budget
        self.admission = admission
        self.capacity = capacity
        self.silent_attempts = SilentAttempts(chooser.plain_targets)
        self.attempt_recorder = AttemptRecorder(
            capacity, crashes, sender.backoffs, chooser.plain_targets, metrics, events
        )
        self.attempts = AttemptRunner(
            chooser,
            sender,
            crashes,
            capacity,
            slow_ranks,
            self.silent_attempts,
            self.attempt_recorder,
        )
        self.retries = RetryDecider(budget, crashes, metrics, events)
        self.rng = rng

    async def run(self, request: DirectRequest, call: Call) -> None:
        """Respond to the caller, or raise the RequestError to respond with."""
        is_trial = self._check_blocked(request)
        relay = ResponseRelay(call, request.last_event_id)
        failures: list[DirectOutcome] = []
        try:
            with anyio.fail_after(request.deadline - anyio.current_time()):
                await self._run_attempts(request, call, relay, failures, is_trial)
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN, "no response before the deadline"
            ) from error

    def _check_blocked(self, request: DirectRequest) -> bool:
        """
        Raise RequestError if a request is blocked.

        Return whether it is blocked, too, but let through to try its segments again.
        """
        now = anyio.current_time()
        if self.crashes.is_blocked(request.digest, now):
            raise RequestError(
                ErrorKind.CRASHES_TARGETS,
                f"request {request.digest} crashed {MAX_CRASHES} targets",
            )
        segments = self.crashes.segments
        blocked = segments.find_blocked(request.segments, now)
        if blocked is None:
            return False
        if segments.start_trial(blocked, now):
            return True
        raise RequestError(
            ErrorKind.CRASHES_TARGETS,
            f"prompts with the segments {' '.join(blocked)} crashed targets",
        )

    async def _run_attempts(
        self,
        request: DirectRequest,
        call: Call,
        relay: ResponseRelay,
        failures: list[DirectOutcome],
        is_trial: bool,
    ) -> None:
        tried: set[str] = set()
        sent = 0
        self.budget.note_request(request.service.name, anyio.current_time())
        groups = None
        if request.service.engine is not None:
            groups = await self.admission.admit(request)
        while True:
            state = await self._choose(request, tried, groups, failures)
            if state is None and failures:
                await self._finish_failed(request, call, failures)
                return
            if state is None:
                raise self._final_error(request, failures)
            self._check_still_allowed(request, failures, is_trial)
            tried.add(state.target.name)
            may_leave = self.retries.may_leave(request, sent)
            outcome = await self.attempts.run(request, state, relay, tried, may_leave)
            match outcome:
                case StreamRelayed():
                    self.admission.note_served(request)
                    return
                case TargetResponse(status=status) if status < SERVER_ERROR:
                    await self._pass_on(request, call, outcome)
                    return
                case NotRun(written=False):
                    pass
                case OutcomeUnknown(foreign_response=True):
                    sent += 1
                    tried.discard(state.target.name)
                case _:
                    sent += 1
            failures.append(outcome)
            groups = self._groups_for_retry(request, state)
            if not self.retries.may_retry(request, failures, sent, bool(groups)):
                await self._finish_failed(request, call, failures)
                return

    def _check_still_allowed(
        self, request: DirectRequest, failures: list[DirectOutcome], is_trial: bool
    ) -> None:
        """Raise RequestError if a request was blocked while it waited for a target."""
        if is_trial:
            return
        try:
            self._check_blocked(request)
        except RequestError as error:
            raise (
                self._final_error(request, failures) if failures else error
            ) from None

    async def _choose(
        self,
        request: DirectRequest,
        tried: set[str],
        groups: set[GroupId] | None,
        failures: list[DirectOutcome],
    ) -> DirectTargetState | None:
        """Return the next target; raise RequestError if none opens in time."""
        try:
            return await self.chooser.choose(request, tried, groups)
        except TargetsClosed as error:
            raise self._final_error(request, failures, error) from error

    def _groups_for_retry(
        self, request: DirectRequest, failed: DirectTargetState
    ) -> set[GroupId] | None:
        """
        Return the other groups in which a request may continue, ``None`` if none.

        A failure of a rank affects its whole group.
        """
        if request.service.engine is None:
            return None
        open_groups = self.capacity.open_groups(request, anyio.current_time())
        return open_groups - {self.capacity.membership.group_of(failed.target)} or None

    async def _finish_failed(
        self, request: DirectRequest, call: Call, failures: list[DirectOutcome]
    ) -> None:
        last_outcome = failures[-1]
        if isinstance(last_outcome, TargetResponse) and not call.started:
            await self._pass_on(request, call, last_outcome)
            return
        raise self._final_error(request, failures)

    async def _pass_on(
        self, request: DirectRequest, call: Call, response: TargetResponse
    ) -> None:
        """
        Send the caller a target's response, unless it would make a false promise.

        Raise RequestError for a status that promises that a request did not run if
        the target has not said so and the request may run only once.
        """
        if response.status in NOT_RUN_STATUSES and not request.route.retryable:
            raise RequestError(
                ErrorKind.TARGET_FAILED,
                f"the target may have run the request that it answered with "
                f"{response.status}",
            )
        await _send_response(request, call, response)

    def _final_error(
        self,
        request: DirectRequest,
        failures: list[DirectOutcome],
        closed: TargetsClosed | None = None,
    ) -> RequestError:
        time_left = request.caller_time_left(anyio.current_time())
        return final_error(failures, time_left, self.rng.random(), closed)


async def _send_response(
    request: DirectRequest, call: Call, response: TargetResponse
) -> None:
    if call.started:
        raise ResponseAborted(
            "a started stream cannot be completed with a buffered response"
        )
    held = request.held
    if held is None or not held.is_bounded:
        await call.reply(response.status, response.body, response.headers)
        return
    await call.reply_in_chunks(response.status, response.body, response.headers)
    if not call.finished:
        held.note_unread(request.id)
