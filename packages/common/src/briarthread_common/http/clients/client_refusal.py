"""Reasons for which a client is refused or its connection is closed."""

from enum import StrEnum

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.error_response import ERROR_RESPONSES
from briarthread_common.core.exceptions import RequestError
from briarthread_common.http.problem import problem_body, problem_headers


class ClientRefusal(StrEnum):
    """Every reason, as logs and counters name it."""

    MALFORMED = "malformed"
    TUNNEL = "tunnel"
    EMPTY_LINES = "empty-lines"
    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TOO_SLOW = "head-too-slow"
    BODY_TOO_SLOW = "body-too-slow"
    BODY_AFTER_ANSWER = "body-after-answer"
    TOO_MUCH_FRAMING = "too-much-framing"
    MEMORY_FULL = "memory-full"
    UNREAD = "unread"
    REPLACED = "replaced"
    TOO_MANY_CONNECTIONS = "too-many-connections"


REFUSAL_ERRORS = {
    ClientRefusal.MALFORMED: RequestError(
        ErrorKind.BAD_REQUEST, "the bytes are no request"
    ),
    ClientRefusal.TUNNEL: RequestError(
        ErrorKind.BAD_REQUEST, "tunnels are not supported"
    ),
    ClientRefusal.HEAD_TOO_LARGE: RequestError(
        ErrorKind.HEAD_TOO_LARGE, "the head of the request is too large"
    ),
    ClientRefusal.BODY_TOO_SLOW: RequestError(
        ErrorKind.BODY_TOO_SLOW, "request body not received in time"
    ),
    ClientRefusal.TOO_MUCH_FRAMING: RequestError(
        ErrorKind.BAD_REQUEST, "the body has more framing than content"
    ),
    ClientRefusal.MEMORY_FULL: RequestError(
        ErrorKind.OVERLOADED, "no memory for the request"
    ),
}
"""Errors that clients are told of; for other reasons their connection is closed."""


def build_refusal(error: RequestError) -> bytes:
    """Return the response to a request that was not begun; it ends the connection."""
    body = problem_body(error)
    response = ERROR_RESPONSES[error.kind]
    fields = [
        *problem_headers(error),
        ("content-length", str(len(body))),
        ("connection", "close"),
    ]
    lines = [f"HTTP/1.1 {response.status} {response.title}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
