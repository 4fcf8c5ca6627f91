"""Parsing of the remaining cold time that a target states in its responses."""

import math
from collections.abc import Iterable

from briarthread_common.core.exceptions import DecodeError


def read_cold_time(values: Iterable[str]) -> float:
    """
    Return for how many seconds a target is still cold, 0.0 for a warm one.

    ``values`` are the fields of a response, in milliseconds, of which the longest
    applies. Raise DecodeError if one of them is not a number from zero on.

    >>> read_cold_time(["1500"]), read_cold_time(["0", "200, 300"]), read_cold_time([])
    (1.5, 0.3, 0.0)
    """
    parts = [part for value in values for part in value.split(",")]
    try:
        milliseconds = [float(part) for part in parts]
    except ValueError as error:
        raise DecodeError(f"cold time {parts[0][:40]!r} is not a number") from error
    if any(not math.isfinite(number) or number < 0 for number in milliseconds):
        raise DecodeError(f"cold time {parts[0][:40]!r} is not a time from zero on")
    return max(milliseconds, default=0.0) / 1000
