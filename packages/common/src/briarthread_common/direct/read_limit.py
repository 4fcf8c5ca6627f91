"""Parsing of the rate limit that an overloaded target sends in its responses."""

import math

from briarthread_common.core.exceptions import DecodeError

MAX_REQUESTS_PER_SECOND = 1e6
"""Limits from this rate on are ignored: no target is sent that many requests."""


def read_limit(raw: str | None) -> float | None:
    """
    Return the requests per second that a header allows, ``None`` for no limit.

    The lowest of several values applies. Raise DecodeError for a value that is not a
    number above zero: a target that accepts no request could never report that it has
    recovered.

    >>> read_limit("2.5"), read_limit("4, 1"), read_limit(None), read_limit("1e9")
    (2.5, 1.0, None, None)
    """
    if raw is None:
        return None
    try:
        least = min(float(part) for part in raw.split(","))
    except ValueError as error:
        raise DecodeError(f"rate limit {raw[:40]!r} is not a number") from error
    if math.isnan(least) or least <= 0:
        raise DecodeError(f"rate limit {raw[:40]!r} is not above zero")
    return least if least < MAX_REQUESTS_PER_SECOND else None
