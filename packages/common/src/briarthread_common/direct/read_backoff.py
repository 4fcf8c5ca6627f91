"""Parsing of Retry-After."""

import math
from collections.abc import Iterable
from email.utils import parsedate_to_datetime

from briarthread_common.core.exceptions import DecodeError

MAX_BACKOFF_SECONDS = 86400.0
"""Upper bound of a backoff in seconds: a target is restarted within a day."""


def read_backoff(values: Iterable[str], date: str | None = None) -> float:
    """
    Return the requested backoff in seconds, 0.0 for none.

    ``values`` are the ``Retry-After`` fields of a response (RFC 9110, 10.2.3), of which
    the longest applies. An HTTP date is taken relative to ``date``, the ``Date`` field
    of the same response, so clock skew between the hosts does not matter. Raise
    DecodeError if there are values and all are invalid.

    >>> read_backoff(["3"]), read_backoff(["0.5", "2"]), read_backoff([])
    (3.0, 2.0, 0.0)
    >>> date = "Thu, 03 Dec 2026 10:00:00 GMT"
    >>> read_backoff(["Thu, 03 Dec 2026 10:00:05 GMT"], date)
    5.0
    """
    fields = list(values)
    parsed = (_parse_value(value, date) for value in fields)
    delays = [delay for delay in parsed if delay is not None]
    if fields and not delays:
        raise DecodeError(
            f"Retry-After {fields[0][:40]!r} is neither seconds nor an HTTP date"
        )
    return min(max(delays, default=0.0), MAX_BACKOFF_SECONDS)


def _parse_value(value: str, date: str | None) -> float | None:
    try:
        numbers = [float(part) for part in value.split(",")]
    except ValueError:
        return _parse_http_date(value, date)
    valid = [number for number in numbers if math.isfinite(number) and number >= 0]
    return max(valid, default=None)


def _parse_http_date(value: str, date: str | None) -> float | None:
    try:
        delay = parsedate_to_datetime(value) - parsedate_to_datetime(date or "")
    except (TypeError, ValueError, OverflowError):
        return None
    return max(delay.total_seconds(), 0.0)
