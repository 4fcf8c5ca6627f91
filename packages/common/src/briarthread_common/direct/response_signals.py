"""The backoff, failure and shutdown that the head of a target's response signals."""

from dataclasses import dataclass

from loguru import logger

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.direct.read_backoff import read_backoff
from briarthread_common.http.channel import ChannelResponse

SERVICE_UNAVAILABLE = 503
"""The status whose Retry-After is read (RFC 9110, 15.6.4)."""
SERVER_ERROR = 500
RETRY_AFTER = "retry-after"
LEAVING = "1"
NOT_LEAVING = "0"


@dataclass(frozen=True, slots=True)
class ResponseSignals:
    """
    Hold what the head of a response says about its target.

    ``backoff`` is the requested backoff in seconds, 0.0 for none. ``failed`` is true
    for a 5xx response, which does not count as a success in the slow start. ``leaving``
    is true if the target announces that it is shutting down.
    """

    backoff: float = 0.0
    failed: bool = False
    leaving: bool = False


def read_response_signals(
    response: ChannelResponse, leaving_header: str | None = None
) -> ResponseSignals:
    """Parse the head of a response; invalid values are logged and ignored."""
    return ResponseSignals(
        _requested_backoff(response),
        response.status >= SERVER_ERROR,
        _is_leaving(response, leaving_header),
    )


def _is_leaving(response: ChannelResponse, header: str | None) -> bool:
    values = [value.strip() for name, value in response.fields if name == header]
    for value in values:
        if value not in (LEAVING, NOT_LEAVING):
            logger.warning(
                "targets: invalid value of {} ignored: {!r}", header, value[:40]
            )
    return LEAVING in values


def _requested_backoff(response: ChannelResponse) -> float:
    if response.status != SERVICE_UNAVAILABLE:
        return 0.0
    values = [value for name, value in response.fields if name == RETRY_AFTER]
    try:
        return read_backoff(values, response.headers.get("date"))
    except DecodeError as error:
        logger.warning("backoffs: header ignored: {}", error)
        return 0.0
