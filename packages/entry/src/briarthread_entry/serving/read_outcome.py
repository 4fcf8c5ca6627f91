"""What the end of an exchange with an agent says of an attempt."""

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.core.outcome import Outcome
from briarthread_common.http.channel import ChannelResponse
from briarthread_entry.serving.attempt_outcome import (
    AttemptOutcome,
    Failed,
    NotRun,
    OutcomeUnknown,
)


def read_refusal(result: str, response: ChannelResponse) -> AttemptOutcome:
    """Return what an answer other than the target's says of the attempt."""
    try:
        kind = ErrorKind(result)
    except ValueError:
        return outcome_unknown(f"the agent answered {response.status} without a result")
    retry_after = response.headers.get("retry-after")
    outcome = response.headers.get("briarthread-outcome")
    error = RequestError(
        kind,
        "the agent refused",
        outcome=Outcome.NOT_RUN if outcome == Outcome.NOT_RUN else Outcome.UNKNOWN,
        retry_after=float(retry_after) if retry_after else None,
    )
    if error.outcome is Outcome.NOT_RUN:
        return NotRun(error)
    return Failed(error)


def revoked() -> NotRun:
    """Return the outcome of an attempt that its agent has revoked."""
    return NotRun(RequestError(ErrorKind.REVOKED, "silent agent; attempt revoked"))


def deadline_passed() -> OutcomeUnknown:
    """Return the outcome of an attempt whose agent is alive but too slow."""
    return OutcomeUnknown(
        RequestError(
            ErrorKind.DEADLINE_PASSED,
            "no answer before the deadline",
            outcome=Outcome.UNKNOWN,
        )
    )


def outcome_unknown(detail: str) -> OutcomeUnknown:
    """Return the outcome of an attempt of which nothing is known."""
    return OutcomeUnknown(RequestError(ErrorKind.OUTCOME_UNKNOWN, detail))
