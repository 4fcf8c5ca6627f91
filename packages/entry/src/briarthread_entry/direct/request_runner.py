"""Execution of a request by attempts at direct targets."""

import random
from collections.abc import Callable
from contextlib import AbstractContextManager
from functools import partial

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
    RankTooSlow,
    StreamRelayed,
    TargetResponse,
    TargetSilent,
)
from briarthread_entry.direct.attempts.attempt_recorder import (
    SERVER_ERROR,
    AttemptRecorder,
)
from briarthread_entry.direct.attempts.attempt_sender import AttemptSender
from briarthread_entry.direct.attempts.silent_attempts import SilentAttempts
from briarthread_entry.direct.crashes.crash_rule import (
    MAX_CRASHES,
    MAX_RETRIED_CRASHES,
    PROVEN_EVENTS,
)
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker, RunningRequest
from briarthread_entry.direct.crashes.rank_run import RankRun
from briarthread_entry.direct.groups.group_capacity import GroupCapacityTracker
from briarthread_entry.direct.groups.slow_ranks import SlowRanks
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.responses.response_relay import ResponseRelay
from briarthread_entry.direct.retries.final_error import final_error, retry_reason
from briarthread_entry.direct.retries.shared_retry_budget import SharedRetryBudget
from briarthread_entry.direct.routing.target_chooser import TargetChooser
from briarthread_entry.direct.routing.targets_closed import TargetsClosed
from briarthread_entry.direct.targets.target_state import DirectTargetState

MAX_FAILED_ATTEMPTS = 3
"""Failures after which a request is not retried.

It bounds the attempts that did not even connect, which do not count towards the route's
attempts.
"""


class RequestRunner:
    """
    Send a request to one target after the other while a retry is safe and allowed.

    A request that may run only once is sent to another target only if the last one
    provably did not run it. Any other request is retried within the route's number of
    attempts and the retry budget.
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
        self.slow_ranks = slow_ranks
        self.silent_attempts = SilentAttempts(chooser.plain_targets)
        self.metrics = metrics
        self.events = events
        self.attempt_recorder = AttemptRecorder(
            capacity, crashes, sender.backoffs, chooser.plain_targets, metrics, events
        )
        self.silent_ranks = self.attempt_recorder.silent_ranks
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
            may_move = self._may_move(request, sent)
            outcome = await self._attempt(request, state, relay, tried, may_move)
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
            if not self._may_retry(request, failures, sent, bool(groups)):
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

    async def _attempt(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        relay: ResponseRelay,
        tried: set[str],
        may_move: bool,
    ) -> DirectOutcome:
        started = anyio.current_time()
        running = self.chooser.total_running(state, started)
        group = self.capacity.membership.group_of(state.target)
        relay.begin_attempt(partial(self._note_event, request, relay, group))
        run = RunningRequest(
            request.digest,
            state.target.name,
            state.target.started_ms,
            request.segments,
        )
        self.crashes.note_start(run)
        rank_run = self._start_rank_run(request, state, started, relay)
        state.running += 1
        state.prompt_tokens += request.prompt_tokens
        try:
            if may_move:
                outcome = await self._send_until_moved(request, state, relay, tried)
            else:
                outcome = await self.sender.send(request, state, relay)
        except anyio.get_cancelled_exc_class():
            self.attempt_recorder.record_abandoned(
                request, state, started, relay, rank_run
            )
            raise
        finally:
            state.running -= 1
            state.prompt_tokens -= request.prompt_tokens
            self.crashes.note_end(run)
            if rank_run is not None:
                self.silent_ranks.end(rank_run, anyio.current_time())
        self.attempt_recorder.record(
            request,
            state,
            outcome,
            started,
            relay.progress,
            running,
            rank_run,
        )
        return outcome

    def _start_rank_run(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        began: float,
        relay: ResponseRelay,
    ) -> RankRun | None:
        """Record an attempt at a rank of a group, ``None`` for any other target."""
        if request.service.engine is None:
            return None
        group = self.capacity.membership.group_of(state.target)
        return self.silent_ranks.start(request, state.target, group, began, relay)

    def _note_event(
        self,
        request: DirectRequest,
        relay: ResponseRelay,
        group: GroupId,
        previous: float | None,
    ) -> None:
        self.capacity.note_event(request.service, group, previous)
        self.attempt_recorder.note_pass(group)
        if relay.progress.events == PROVEN_EVENTS:
            now = anyio.current_time()
            self.crashes.segments.note_answered(request.segments, now)

    def _may_move(self, request: DirectRequest, sent: int) -> bool:
        """Return whether a running attempt may be moved to another target."""
        return sent + 1 < request.route.max_attempts and request.route.retryable

    async def _send_until_moved(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        relay: ResponseRelay,
        tried: set[str],
    ) -> DirectOutcome:
        """Send an attempt; cancel it if it should move and a retry is allowed."""
        outcomes: list[DirectOutcome] = []

        def leave(outcome: DirectOutcome) -> None:
            if self._spend_retry(request, retry_reason(outcome)):
                outcomes.append(outcome)
                scope.cancel()

        with anyio.CancelScope() as scope, self._watch(request, state, tried, leave):
            return await self.sender.send(request, state, relay)
        return outcomes[0]

    def _watch(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        tried: set[str],
        leave: Callable[[DirectOutcome], None],
    ) -> AbstractContextManager[None]:
        """Call ``leave`` when the attempt should continue at another target."""
        if request.service.engine is not None:
            return self.slow_ranks.watch(
                request.service.name,
                state,
                lambda factor: leave(RankTooSlow(factor)),
            )

        def leave_silent(seconds: float) -> None:
            if self.chooser.has_answering_target(request, tried):
                leave(TargetSilent(seconds))

        return self.silent_attempts.watch(state, leave_silent)

    def _may_retry(
        self,
        request: DirectRequest,
        failures: list[DirectOutcome],
        sent: int,
        has_alternative: bool,
    ) -> bool:
        """
        Return whether to retry.

        ``has_alternative`` is true if another group has free capacity.
        """
        outcome = failures[-1]
        if isinstance(outcome, RankTooSlow | TargetSilent):
            return True
        if sent >= request.route.max_attempts or len(failures) >= MAX_FAILED_ATTEMPTS:
            return False
        crashes = self.crashes.crash_count(request.digest, request.segments)
        if crashes > MAX_RETRIED_CRASHES:
            return False
        if isinstance(outcome, NotRun) and outcome.faulty_rank and not has_alternative:
            return False
        if isinstance(outcome, NotRun) and not outcome.written:
            return True
        if not isinstance(outcome, NotRun) and not request.route.retryable:
            return False
        return self._spend_retry(request, retry_reason(outcome))

    def _spend_retry(self, request: DirectRequest, reason: str) -> bool:
        """Spend and count a retry; return whether the budget allowed it."""
        service, now = request.service.name, anyio.current_time()
        allowed = self.budget.spend(service, now)
        decision = "retry-allowed" if allowed else "retry-denied"
        figures = self.budget.describe(service, now)
        self.events.add(decision, service, f"{reason}; {figures}", request.id)
        if allowed:
            self.metrics.retries.labels(reason).inc()
        else:
            self.metrics.refusals.labels(str(ErrorKind.RETRY_BUDGET)).inc()
        return allowed

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
