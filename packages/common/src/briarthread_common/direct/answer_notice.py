"""The backoff and the failure that the head of a target's response signals."""

from dataclasses import dataclass

from loguru import logger

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.direct.read_backoff import read_backoff
from briarthread_common.http.channel import ChannelResponse

SERVICE_UNAVAILABLE = 503
"""The status whose Retry-After is read (RFC 9110, 15.6.4)."""
SERVER_ERROR = 500
RETRY_AFTER = "retry-after"


@dataclass(frozen=True, slots=True)
class AnswerNotice:
    """
    Hold what the head of a response says about its target.

    ``backoff`` is the requested backoff in seconds, 0.0 for none. ``failed`` is true
    for a 5xx response, which does not count as a success in the slow start.
    """

    backoff: float = 0.0
    failed: bool = False


def read_notice(response: ChannelResponse) -> AnswerNotice:
    """Parse the head of a response; an invalid Retry-After is logged and ignored."""
    return AnswerNotice(_requested_backoff(response), response.status >= SERVER_ERROR)


def _requested_backoff(response: ChannelResponse) -> float:
    if response.status != SERVICE_UNAVAILABLE:
        return 0.0
    values = [value for name, value in response.fields if name == RETRY_AFTER]
    try:
        return read_backoff(values, response.headers.get("date"))
    except DecodeError as error:
        logger.warning("backoffs: header ignored: {}", error)
        return 0.0
