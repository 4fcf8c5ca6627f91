"""
The rule by which a request is taken to crash the targets that begin it.

It answers one request that takes a target away each time it is sent, and with a rank
its whole group, and comes again at any entry; and days on which targets crash for
other reasons, on which nobody's request may be shut out.

All that a crashed target had begun and not yet answered is suspect: a request that
crashes targets does so as it begins, so that streams with events already are not. One
that was answered whole anywhere within the last minute is not suspect either, which
clears requests that many ask alike. A crash counts only if its run began after the
crash counted before: requests that run in many places when many targets go at once get
one strike for it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_CRASHES = 3
"""Crashes that one request may cause, over all entries."""
MAX_RETRIED_CRASHES = 1
"""Crashes up to which an entry sends a request on by itself. Most suspects are
bystanders, which the next run clears; a second crash makes it likely enough that the
caller has to ask again."""
TIME_TOLERANCE_SECONDS = 0.02
"""By how much times told by two entries may differ."""


@dataclass(frozen=True, slots=True)
class Strike:
    """A run that a target's crash ended; times are the runtime's seconds."""

    target: str
    began: float
    ended: float


def count_sequential_crashes(strikes: Iterable[Strike]) -> int:
    """
    Return how many crashes one after the other a request was part of.

    >>> count_sequential_crashes(
    ...     [Strike("a", 1.0, 1.1), Strike("b", 1.0, 1.1), Strike("c", 1.0, 1.2)]
    ... )
    1
    >>> count_sequential_crashes(
    ...     [Strike("a", 1.0, 1.1), Strike("b", 1.1, 1.3), Strike("c", 2.0, 2.1)]
    ... )
    3
    """
    number = 0
    last = float("-inf")
    for strike in sorted(strikes, key=lambda strike: strike.ended):
        if strike.began >= last - TIME_TOLERANCE_SECONDS:
            number += 1
            last = strike.ended
    return number
