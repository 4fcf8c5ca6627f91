"""The one retry path of the entry."""

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
    Run a request by as many attempts as are proved safe and worth it.

    Another attempt is made only where the last one is proved not to have
    run, or where the request is idempotent.
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
        self.budget = RetryBudget()

    async def run(self, request: CallerRequest, text: ServicesText, call: Call) -> None:
        """Answer the caller, or raise the RequestError that it gets."""
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
            self._note(request, pick.target, outcome)
            self._check_retry(request, failures, last=number + 1 == limit)
            await anyio.sleep(retry_delay(number, self.rng))
            if self.clock.now() + RESPONSE_MARGIN_SECONDS >= request.deadline:
                raise self._final(request, failures)

    async def _pick(
        self,
        request: CallerRequest,
        text: ServicesText,
        tried: set[str],
        failures: list[Failure],
    ) -> Pick:
        """Return the next target; with none left the failures decide."""
        try:
            return await self.router.pick(request, text, tried)
        except RequestError as error:
            if failures:
                raise self._final(request, failures) from error
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
        outcome = await self.sender.send(request, attempt, pick.target, call)
        if isinstance(outcome, ResponseRelayed):
            pick.target.note_success()
        return outcome

    def _note(
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
        """Return when another attempt is allowed, else raise the final error."""
        outcome = failures[-1]
        error = outcome.error
        proved = isinstance(outcome, NotRun)
        safe = proved or (
            request.idempotent and isinstance(outcome, OutcomeUnknown | Failed)
        )
        if last or not safe:
            raise self._final(request, failures)
        if error.kind in MEMBERSHIP_KINDS:
            pass
        elif error.kind not in BUDGETED_KINDS:
            raise self._final(request, failures)
        elif not self.budget.spend(self.clock.now()):
            self.metrics.refusals.labels(str(ErrorKind.RETRY_BUDGET)).inc()
            raise self._final(request, failures)
        self.metrics.retries.labels(str(error.kind)).inc()

    def _final(self, request: CallerRequest, failures: list[Failure]) -> RequestError:
        """
        Return the last failure, as not run only if no attempt may have run.

        A repeatable call may have been begun by an earlier attempt, whatever
        became of the last one.
        """
        error = failures[-1].error
        certain = all(isinstance(failure, NotRun) for failure in failures)
        if request.needs_holder and error.kind not in HOLDER_CHECKED_KINDS:
            certain = False
        return error if certain else with_unknown_outcome(error)


def with_unknown_outcome(error: RequestError) -> RequestError:
    """
    Return the error with the outcome unknown.

    A refusal of one ask says nothing of an earlier ask with the same key;
    only the holder, having looked the key up, can say that it did not run.
    """
    return RequestError(
        error.kind,
        error.detail,
        outcome=Outcome.UNKNOWN,
        retry_after=error.retry_after,
    )
