"""Error responses as problem+json."""

import math

import msgspec

from briarthread_common.core.error_response import ERROR_RESPONSES
from briarthread_common.core.exceptions import RequestError

PROBLEM_TYPE = "application/problem+json"


def problem_body(error: RequestError, request_id: str = "") -> bytes:
    """Return the problem+json body of a failed request."""
    return msgspec.json.encode(
        {
            "type": f"urn:briarthread:{error.kind}",
            "title": ERROR_RESPONSES[error.kind].title,
            "status": ERROR_RESPONSES[error.kind].status,
            "detail": error.detail,
            "outcome": error.outcome,
            "request": request_id,
        }
    )


def problem_headers(error: RequestError, exact: bool = False) -> list[tuple[str, str]]:
    """
    Return the headers of a failed request.

    ``Retry-After`` is rounded up to whole seconds and is at least 1. With ``exact``,
    for callers known to parse fractions, it has milliseconds instead.
    """
    headers = [
        ("content-type", PROBLEM_TYPE),
        ("briarthread-outcome", str(error.outcome)),
    ]
    if error.retry_after is not None:
        whole_seconds = max(1, math.ceil(error.retry_after))
        value = f"{error.retry_after:.3f}" if exact else str(whole_seconds)
        headers.append(("retry-after", value))
    return headers
