"""Final error of a request after its last attempt."""

from collections.abc import Sequence

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.core.outcome import Outcome
from briarthread_entry.direct.admission.admission_rule import (
    retry_after_backoff,
    retry_after_refusal,
)
from briarthread_entry.direct.attempts.attempt_outcome import (
    DirectOutcome,
    NotRun,
    OutcomeUnknown,
    RankTooSlow,
    TargetSilent,
)
from briarthread_entry.direct.routing.targets_closed import TargetsClosed

SLOW_RANK = "slow-rank"
SILENT_TARGET = "silent-target"
"""Reasons of retries without a failure, in addition to the kinds of errors."""


def final_error(
    failures: Sequence[DirectOutcome],
    caller_time_left: float,
    jitter: float,
    closed: TargetsClosed | None = None,
) -> RequestError:
    """
    Return the error for the last failure; it is "not run" if no attempt may have run.

    ``caller_time_left`` is the number of seconds for which the caller still waits;
    ``jitter``, from 0 to 1, spreads the client retries. ``closed`` is set if none of
    the remaining targets accepts a request.

    >>> failed = OutcomeUnknown(RequestError(ErrorKind.TARGET_FAILED, "reset"))
    >>> refused = NotRun(RequestError(ErrorKind.OVERLOADED, "full"))
    >>> final_error([refused], 6.0, 1.0).retry_after
    2.0
    >>> final_error([failed, refused], 6.0, 1.0).outcome
    <Outcome.UNKNOWN: 'unknown'>
    """
    none_ran = all(isinstance(failure, NotRun) for failure in failures)
    if closed is not None and none_ran:
        pause = retry_after_backoff(caller_time_left, closed.opens_in, jitter)
        return RequestError(closed.kind, str(closed), retry_after=pause)
    if not failures:
        pause = retry_after_refusal(ErrorKind.NO_TARGET, caller_time_left, jitter)
        return RequestError(
            ErrorKind.NO_TARGET, "no target accepts requests", retry_after=pause
        )
    last = failures[-1]
    if isinstance(last, NotRun) and none_ran:
        pause = retry_after_refusal(last.error.kind, caller_time_left, jitter)
        return RequestError(last.error.kind, last.error.detail, retry_after=pause)
    return RequestError(
        ErrorKind.TARGET_FAILED, _describe(last), outcome=Outcome.UNKNOWN
    )


def retry_reason(outcome: DirectOutcome) -> str:
    """Return the reason under which a retry after an outcome is counted."""
    match outcome:
        case NotRun(error=error) | OutcomeUnknown(error=error):
            return str(error.kind)
        case RankTooSlow():
            return SLOW_RANK
        case TargetSilent():
            return SILENT_TARGET
        case _:
            return str(ErrorKind.TARGET_FAILED)


def _describe(outcome: DirectOutcome) -> str:
    match outcome:
        case NotRun(error=error) | OutcomeUnknown(error=error):
            return error.detail
        case RankTooSlow():
            return "no other rank continued the stream of a slow rank"
        case TargetSilent(seconds=seconds):
            return f"the target answered nothing for {seconds:.3f} s"
        case _:
            return "the target responded with a failure"
