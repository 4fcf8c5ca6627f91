"""Decision whether a request goes on at another target after an attempt."""

from collections.abc import Callable
from functools import partial

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.metrics import Metrics
from briarthread_entry.direct.attempts.attempt_outcome import (
    DirectOutcome,
    NotRun,
    RankTooSlow,
    TargetSilent,
)
from briarthread_entry.direct.crashes.crash_rule import MAX_RETRIED_CRASHES
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.retries.final_error import retry_reason
from briarthread_entry.direct.retries.shared_retry_budget import SharedRetryBudget

MAX_FAILED_ATTEMPTS = 3
"""Failures after which a request is not retried.

It bounds the attempts that did not even connect, which do not count towards the route's
attempts.
"""


class RetryDecider:
    """
    Decide whether a request is retried, and spend the retry budget for it.

    A request that may run only once is sent to another target only if the last one
    provably did not run it. Any other request is retried within the route's number of
    attempts and the retry budget.
    """

    def __init__(
        self,
        budget: SharedRetryBudget,
        crashes: CrashTracker,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        self.budget = budget
        self.crashes = crashes
        self.metrics = metrics
        self.events = events

    def may_leave(
        self, request: DirectRequest, sent: int
    ) -> Callable[[DirectOutcome], bool] | None:
        """
        Return what spends a retry so that a running attempt moves to another target.

        Return ``None`` if it may not move; ``sent`` is the number of earlier attempts.
        """
        if sent + 1 < request.route.max_attempts and request.route.retryable:
            return partial(self.spend_retry, request)
        return None

    def may_retry(
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
        return self.spend_retry(request, outcome)

    def spend_retry(self, request: DirectRequest, outcome: DirectOutcome) -> bool:
        """Spend and count a retry; return whether the budget allowed it."""
        reason = retry_reason(outcome)
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
