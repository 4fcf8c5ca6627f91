"""The one table from an error kind to the answer that a caller gets."""

from dataclasses import dataclass

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.outcome import Outcome


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """
    Describe the answer to one error kind.

    ``retry_after`` is in seconds; ``None`` means that asking again without
    a change is of no use.
    """

    status: int
    outcome: Outcome
    retry_after: float | None
    title: str


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(400, _NOT_RUN, None, "Malformed request"),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(401, _NOT_RUN, None, "Key not accepted"),
    ErrorKind.FORBIDDEN: ErrorAnswer(403, _NOT_RUN, None, "Service not allowed"),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, _NOT_RUN, None, "Unknown service"),
    ErrorKind.NOT_FOUND: ErrorAnswer(404, _NOT_RUN, None, "No such page"),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, _NOT_RUN, None, "Body too large"),
    ErrorKind.BODY_TOO_SLOW: ErrorAnswer(408, _NOT_RUN, 1, "Body too slow"),
    ErrorKind.KEY_REUSED: ErrorAnswer(
        422, _NOT_RUN, None, "Idempotency key reused for another request"
    ),
    ErrorKind.ACCOUNT_RATE: ErrorAnswer(429, _NOT_RUN, 1, "Account rate reached"),
    ErrorKind.ACCOUNT_CONCURRENCY: ErrorAnswer(
        429, _NOT_RUN, 1, "Account concurrency reached"
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(503, _NOT_RUN, 1, "Overloaded"),
    ErrorKind.DEADLINE_UNMEETABLE: ErrorAnswer(
        503, _NOT_RUN, 1, "Deadline cannot be met"
    ),
    ErrorKind.TARGETS_LIMITED: ErrorAnswer(503, _NOT_RUN, 1, "Targets take no more"),
    ErrorKind.TARGETS_BACKING_OFF: ErrorAnswer(
        503, _NOT_RUN, 1, "Targets are backing off"
    ),
    ErrorKind.CRASHES_TARGETS: ErrorAnswer(
        502,
        _NOT_RUN,
        None,
        "Request crashes its targets; change it before asking again",
    ),
    ErrorKind.NO_TARGET: ErrorAnswer(503, _NOT_RUN, 2, "No target"),
    ErrorKind.GROUP_BROKEN: ErrorAnswer(503, _NOT_RUN, 1, "Group not serving"),
    ErrorKind.DEPENDENCY_DOWN: ErrorAnswer(503, _NOT_RUN, 2, "Dependency down"),
    ErrorKind.DRAINING: ErrorAnswer(503, _NOT_RUN, 1, "Instance is stopping"),
    ErrorKind.NOT_READY: ErrorAnswer(503, _NOT_RUN, 1, "Instance is starting"),
    ErrorKind.WRONG_INCARNATION: ErrorAnswer(503, _NOT_RUN, 1, "Target was replaced"),
    ErrorKind.NOT_HOLDER: ErrorAnswer(503, _NOT_RUN, 1, "Share held elsewhere"),
    ErrorKind.RETRY_BUDGET: ErrorAnswer(503, _NOT_RUN, 2, "Retry budget spent"),
    ErrorKind.TARGET_FAILED: ErrorAnswer(502, _UNKNOWN, 1, "Target failed"),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(504, _UNKNOWN, 1, "Outcome unknown"),
    ErrorKind.QUARANTINED: ErrorAnswer(503, _UNKNOWN, 5, "Key quarantined"),
    ErrorKind.HOLDER_UNREACHABLE: ErrorAnswer(
        503, _UNKNOWN, 2, "Key holder unreachable"
    ),
    ErrorKind.DEADLINE_PASSED: ErrorAnswer(504, _NOT_RUN, 1, "Deadline passed"),
    ErrorKind.REVOKED: ErrorAnswer(503, _NOT_RUN, 1, "Attempt revoked"),
    ErrorKind.VERSION_CONFLICT: ErrorAnswer(409, _NOT_RUN, None, "Version conflict"),
    ErrorKind.INTERNAL: ErrorAnswer(500, _UNKNOWN, 1, "Internal error"),
}
