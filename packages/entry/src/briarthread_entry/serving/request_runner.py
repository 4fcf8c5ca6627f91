"""Retry loop of an entry that sends to agents; no other code of it retries."""

import random

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import RequestError
from briarthread_common.core.metrics import Metrics
from briarthread_common.core.outcome import Outcome
from briarthread_common.http.call import Call
from briarthread_common.messages.attempt import NO_SHARE, Attempt
from briarthread_common.text.services_text import ServicesText
from briarthread_common.utils.clock import Clock
from briarthread_common.utils.hashing import random_id
from briarthread_entry.retries.retry_budget import RetryBudget
from briarthread_entry.retries.retry_policy import (
    BUDGETED_KINDS,
    EJECTION_KINDS,
    HOLDER_CHECKED_KINDS,
    MAX_ATTEMPTS,
    MAX_HOLDER_ATTEMPTS,
    MEMBERSHIP_KINDS,
    retry_delay,
)
from briarthread_entry.routing.router import Pick, Router
from briarthread_entry.routing.target_state import TargetState
from briarthread_entry.serving.attempt_outcome import (
    AttemptOutcome,
    Failed,
    Failure,
    NotRun,
    OutcomeUnknown,
    ResponseRelayed,
)
from briarthread_entry.serving.attempt_sender import (
    RESPONSE_MARGIN_SECONDS,
    AttemptSender,
)
from briarthread_entry.serving.caller_request import CallerRequest


class RequestRunner:
    """
    Run a request in as many attempts as are safe and useful.

    Another attempt is made only if the last one provably did not run or the request
    is idempotent.
    """

    def __init__(
        self,
        router: Router,
        sender: AttemptSender,
        clock: Clock,
        metrics: Metrics,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self.router = router
        self.sender = sender
        self.clock = clock
        self.metrics = metrics
        self.events = events
        self.rng = rng
        self.budget = RetryBudget(started=clock.now())

    async def run(self, request: CallerRequest, text: ServicesText, call: Call) -> None:
        """Relay a response to the caller, or raise the error to send to it."""
        limit = MAX_HOLDER_ATTEMPTS if request.needs_holder else MAX_ATTEMPTS
        tried: set[str] = set()
        failures: list[Failure] = []
        for number in range(limit):
            pick = await self._pick(request, text, tried, failures)
            tried.add(pick.target.instance.name)
            outcome = await self._attempt(request, pick, call)
            if isinstance(outcome, ResponseRelayed):
                self.budget.note_success()
                return
            failures.append(outcome)
            self._record_failure(request, pick.target, outcome)
            self._check_retry(request, failures, last=number + 1 == limit)
            await anyio.sleep(retry_delay(number, self.rng))
            if self.clock.now() + RESPONSE_MARGIN_SECONDS >= request.deadline:
                raise self._final_error(request, failures)

    async def _pick(
        self,
        request: CallerRequest,
        text: ServicesText,
        tried: set[str],
        failures: list[Failure],
    ) -> Pick:
        """Return the next target; if none is left, raise the error of past attempts."""
        try:
            return await self.router.pick(request, text, tried)
        except RequestError as error:
            if failures:
                raise self._final_error(request, failures) from error
            raise (
                with_unknown_outcome(error) if request.needs_holder else error
            ) from error

    async def _attempt(
        self, request: CallerRequest, pick: Pick, call: Call
    ) -> AttemptOutcome:
        row = pick.row
        attempt = Attempt(
            key=request.key,
            id=random_id(self.rng),
            service=request.service.name,
            incarnation=pick.target.incarnation,
            deadline=request.deadline - 2 * RESPONSE_MARGIN_SECONDS,
            account=request.account.name,
            method=request.method,
            path=request.path,
            idempotent=request.idempotent,
            keyed=request.keyed,
            weight=request.account.weight,
            priority=request.account.priority,
            share=row.share if row else NO_SHARE,
            share_version=row.version if row else 0,
        )
        pick.target.sent_since_report += 1
        try:
            outcome = await self.sender.send(request, attempt, pick.target, call)
        except anyio.get_cancelled_exc_class():
            self._record_abandoned(request, pick.target, call.started)
            raise
        if isinstance(outcome, ResponseRelayed):
            pick.target.note_success()
        return outcome

    def _record_abandoned(
        self, request: CallerRequest, target: TargetState, answered: bool
    ) -> None:
        self.metrics.abandoned_attempts.labels(str(answered).lower()).inc()
        progress = "answered in part" if answered else "unanswered"
        self.events.add("attempt-abandoned", target.instance.name, progress, request.id)

    def _record_failure(
        self, request: CallerRequest, target: TargetState, outcome: Failure
    ) -> None:
        error = outcome.error
        name = target.instance.name
        self.events.add(
            "attempt-failed", name, f"{error.kind}: {error.detail}", request.id
        )
        if error.kind in EJECTION_KINDS and target.note_failure(self.clock.now()):
            self.events.add("target-ejected", name, f"last failure: {error.kind}")

    def _check_retry(
        self, request: CallerRequest, failures: list[Failure], last: bool
    ) -> None:
        """Raise the final error unless another attempt is allowed."""
        outcome = failures[-1]
        error = outcome.error
        not_run = isinstance(outcome, NotRun)
        safe = not_run or (
            request.idempotent and isinstance(outcome, OutcomeUnknown | Failed)
        )
        if last or not safe:
            raise self._final_error(request, failures)
        if error.kind in MEMBERSHIP_KINDS:
            pass
        elif error.kind not in BUDGETED_KINDS:
            raise self._final_error(request, failures)
        elif not self.budget.spend(self.clock.now()):
            self.metrics.refusals.labels(str(ErrorKind.RETRY_BUDGET)).inc()
            raise self._final_error(request, failures)
        self.metrics.retries.labels(str(error.kind)).inc()

    def _final_error(
        self, request: CallerRequest, failures: list[Failure]
    ) -> RequestError:
        """
        Return the error of the last attempt, not-run only if no attempt may have run.

        An earlier attempt of an idempotent request may have started, whatever the
        outcome of the last one.
        """
        error = failures[-1].error
        certain = all(isinstance(failure, NotRun) for failure in failures)
        if request.needs_holder and error.kind not in HOLDER_CHECKED_KINDS:
            certain = False
        return error if certain else with_unknown_outcome(error)


def with_unknown_outcome(error: RequestError) -> RequestError:
    """
    Return the error with the outcome unknown.

    The refusal of one request does not prove that an earlier request with the same key
    did not run. Only the holder can tell, after looking the key up.
    """
    return RequestError(
        error.kind,
        error.detail,
        outcome=Outcome.UNKNOWN,
        retry_after=error.retry_after,
    )
