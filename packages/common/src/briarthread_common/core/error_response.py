"""Table of the response that a caller gets for each error kind."""

from dataclasses import dataclass

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.outcome import Outcome


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """
    Describe the response to one error kind.

    ``retry_after`` is in seconds; ``None`` means that a retry of the unchanged
    request is useless.
    """

    status: int
    outcome: Outcome
    retry_after: float | None
    title: str


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, _NOT_RUN, None, "Malformed request"),
    ErrorKind.UNAUTHORIZED: ErrorResponse(401, _NOT_RUN, None, "Key not accepted"),
    ErrorKind.FORBIDDEN: ErrorResponse(403, _NOT_RUN, None, "Service not allowed"),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, _NOT_RUN, None, "Unknown service"),
    ErrorKind.NOT_FOUND: ErrorResponse(404, _NOT_RUN, None, "No such page"),
    ErrorKind.HEAD_TOO_LARGE: ErrorResponse(431, _NOT_RUN, None, "Head too large"),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _NOT_RUN, None, "Body too large"),
    ErrorKind.BODY_TOO_SLOW: ErrorResponse(408, _NOT_RUN, 1, "Body too slow"),
    ErrorKind.KEY_REUSED: ErrorResponse(
        422, _NOT_RUN, None, "Idempotency key reused for another request"
    ),
    ErrorKind.ACCOUNT_RATE: ErrorResponse(429, _NOT_RUN, 1, "Account rate reached"),
    ErrorKind.ACCOUNT_CONCURRENCY: ErrorResponse(
        429, _NOT_RUN, 1, "Account concurrency reached"
    ),
    ErrorKind.OVERLOADED: ErrorResponse(503, _NOT_RUN, 1, "Overloaded"),
    ErrorKind.DEADLINE_UNMEETABLE: ErrorResponse(
        503, _NOT_RUN, 1, "Deadline cannot be met"
    ),
    ErrorKind.TARGETS_LIMITED: ErrorResponse(503, _NOT_RUN, 1, "Targets take no more"),
    ErrorKind.TARGETS_BACKING_OFF: ErrorResponse(
        503, _NOT_RUN, 1, "Targets are backing off"
    ),
    ErrorKind.CRASHES_TARGETS: ErrorResponse(
        502,
        _NOT_RUN,
        None,
        "Request crashes its targets; change it before asking again",
    ),
    ErrorKind.NO_TARGET: ErrorResponse(503, _NOT_RUN, 2, "No target"),
    ErrorKind.GROUP_BROKEN: ErrorResponse(503, _NOT_RUN, 1, "Group not serving"),
    ErrorKind.DEPENDENCY_DOWN: ErrorResponse(503, _NOT_RUN, 2, "Dependency down"),
    ErrorKind.DRAINING: ErrorResponse(503, _NOT_RUN, 1, "Instance is stopping"),
    ErrorKind.NOT_READY: ErrorResponse(503, _NOT_RUN, 1, "Instance is starting"),
    ErrorKind.WRONG_INCARNATION: ErrorResponse(503, _NOT_RUN, 1, "Target was replaced"),
    ErrorKind.NOT_HOLDER: ErrorResponse(503, _NOT_RUN, 1, "Share held elsewhere"),
    ErrorKind.RETRY_BUDGET: ErrorResponse(503, _NOT_RUN, 2, "Retry budget spent"),
    ErrorKind.TARGET_FAILED: ErrorResponse(502, _UNKNOWN, 1, "Target failed"),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(504, _UNKNOWN, 1, "Outcome unknown"),
    ErrorKind.QUARANTINED: ErrorResponse(503, _UNKNOWN, 5, "Key quarantined"),
    ErrorKind.HOLDER_UNREACHABLE: ErrorResponse(
        503, _UNKNOWN, 2, "Key holder unreachable"
    ),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(504, _NOT_RUN, 1, "Deadline passed"),
    ErrorKind.REVOKED: ErrorResponse(503, _NOT_RUN, 1, "Attempt revoked"),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(409, _NOT_RUN, None, "Version conflict"),
    ErrorKind.INTERNAL: ErrorResponse(500, _UNKNOWN, 1, "Internal error"),
}
