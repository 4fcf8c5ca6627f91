"""Outcomes of an attempt, as the end of an exchange with an agent shows them."""

from loguru import logger

from briarthread_common.core.decoding import read_amount
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import DecodeError, RequestError
from briarthread_common.core.outcome import Outcome
from briarthread_common.http.channel import ChannelResponse
from briarthread_entry.serving.attempt_outcome import (
    AttemptOutcome,
    Failed,
    NotRun,
    OutcomeUnknown,
)


def read_refusal(result: str, response: ChannelResponse) -> AttemptOutcome:
    """Return the outcome for a response that does not come from the target."""
    try:
        kind = ErrorKind(result)
    except ValueError:
        return outcome_unknown(f"the agent answered {response.status} without a result")
    outcome = response.headers.get("briarthread-outcome")
    error = RequestError(
        kind,
        "the agent refused",
        outcome=Outcome.NOT_RUN if outcome == Outcome.NOT_RUN else Outcome.UNKNOWN,
        retry_after=_read_retry_after(response),
    )
    if error.outcome is Outcome.NOT_RUN:
        return NotRun(error)
    return Failed(error)


def _read_retry_after(response: ChannelResponse) -> float | None:
    raw = response.headers.get("retry-after")
    try:
        return None if raw is None else read_amount(raw)
    except DecodeError as error:
        logger.warning("attempts: retry-after ignored: {}", error)
        return None


def revoked() -> NotRun:
    """Return the outcome of an attempt that its agent has revoked."""
    return NotRun(
        RequestError(ErrorKind.REVOKED, "no response from the agent; attempt revoked")
    )


def deadline_passed() -> OutcomeUnknown:
    """Return the outcome of an attempt whose agent is alive but too slow to respond."""
    return OutcomeUnknown(
        RequestError(
            ErrorKind.DEADLINE_PASSED,
            "no answer before the deadline",
            outcome=Outcome.UNKNOWN,
        )
    )


def promise_without_proof(status: int) -> Failed:
    """Return the outcome for a status that promises what no agent has confirmed."""
    detail = f"the target may have run the request that it answered with {status}"
    return Failed(
        RequestError(ErrorKind.TARGET_FAILED, detail, outcome=Outcome.UNKNOWN)
    )


def outcome_unknown(detail: str) -> OutcomeUnknown:
    """Return the outcome of an attempt that may have run or not."""
    return OutcomeUnknown(RequestError(ErrorKind.OUTCOME_UNKNOWN, detail))
