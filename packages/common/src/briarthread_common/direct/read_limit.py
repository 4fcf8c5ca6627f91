"""Reading of the rate that a target in need names in its answers."""

import math

from briarthread_common.core.exceptions import DecodeError

MAX_REQUESTS_PER_SECOND = 1e6
"""Limits from here on bound nothing that a target could be sent."""


def read_limit(raw: str | None) -> float | None:
    """
    Return the requests a second that a header allows, ``None`` where it bounds none.

    Where several are named the least holds. Raise DecodeError for what is no number
    above zero: a target that takes nothing at all could never say that it is well.

    >>> read_limit("2.5"), read_limit("4, 1"), read_limit(None), read_limit("1e9")
    (2.5, 1.0, None, None)
    """
    if raw is None:
        return None
    try:
        least = min(float(part) for part in raw.split(","))
    except ValueError as error:
        raise DecodeError(f"limit {raw[:40]!r} is no number") from error
    if math.isnan(least) or least <= 0:
        raise DecodeError(f"limit {raw[:40]!r} is not above zero")
    return least if least < MAX_REQUESTS_PER_SECOND else None
