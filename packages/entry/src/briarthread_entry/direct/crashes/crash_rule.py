"""
Rule that decides whether a request crashes the targets that execute it.

A request may crash its target, and with a rank the whole group, each time it is sent,
and its caller may repeat it at any entry. On the other hand, no request may be blocked
because targets crash for other reasons.

Each request that a crashed target had started and not yet answered gets a strike. A
request that crashes targets does so when it starts, so streams that have already
returned several events get none. Neither does a request that was answered completely
anywhere within the last minute, which clears requests that many callers send alike. A
crash counts only if the run began after the previously counted crash, so that a request
that runs at many targets that fail at the same time is counted once.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_CRASHES = 3
"""Crashes, over all entries, after which a request is blocked."""
MAX_RETRIED_CRASHES = 1
"""Crashes up to which an entry retries a request itself. Most suspect requests only ran
at the same time as the cause, and their next run clears them. After a second crash the
request is a likely cause, so a retry is left to the caller."""
PROVEN_EVENTS = 4
"""Events of a stream after which its request has been answered without a crash. A
request that crashes its target may return one event or two before."""
MIN_DOWNTIME_SECONDS = 1.0
"""Shortest downtime of a crashed target in seconds. A target that responds sooner
after a lost connection did not crash."""
SAME_CRASH_SECONDS = 0.5
"""Time in seconds within which lost connections to a target count as one crash."""
SAME_SILENT_CRASH_SECONDS = 2.5
"""The same for a target that fell silent. Entries estimate the time of its crash from
the first refusal that names it, and it is back three seconds later at the earliest."""
TIME_TOLERANCE_SECONDS = 0.02
"""Tolerance in seconds for times reported by different entries."""


@dataclass(frozen=True, slots=True)
class Strike:
    """
    A run of a request that ended with a crash of its target.

    Times are in seconds on the event loop's clock. ``started_ms`` is the start time of
    the target's run, ``None`` if it is not known. ``segments`` are the shared segments
    of the request's prompt, in order. ``own`` is true if this entry saw the crash,
    ``silent`` if the target fell silent, so that ``ended`` is an estimate.
    """

    target: str
    began: float
    ended: float
    started_ms: int | None = None
    segments: tuple[str, ...] = ()
    own: bool = False
    silent: bool = False

    def ended_with(self, target: str, ended: float) -> bool:
        """Return whether a crash of a target at some time ended this run."""
        return self.target == target and abs(self.ended - ended) < SAME_CRASH_SECONDS

    def is_disproved_by(self, target: str, sent: float, started_ms: int | None) -> bool:
        """Return whether a response to a request sent then shows that it did not."""
        return (
            self.target == target
            and self.started_ms == started_ms
            and self.ended < sent < self.ended + MIN_DOWNTIME_SECONDS
        )

    def is_same_crash(self, other: "Strike") -> bool:
        """Return whether two runs ended with the same crash."""
        if not (self.silent or other.silent):
            return self.ended_with(other.target, other.ended)
        apart = abs(self.ended - other.ended)
        return self.target == other.target and apart < SAME_SILENT_CRASH_SECONDS


def count_sequential_crashes(strikes: Iterable[Strike]) -> int:
    """
    Return the number of successive crashes that a request was involved in.

    >>> count_sequential_crashes(
    ...     [Strike("a", 1.0, 1.1), Strike("b", 1.0, 1.1), Strike("c", 1.0, 1.2)]
    ... )
    1
    >>> count_sequential_crashes(
    ...     [Strike("a", 1.0, 1.1), Strike("b", 1.1, 1.3), Strike("c", 2.0, 2.1)]
    ... )
    3
    """
    count = 0
    last: Strike | None = None
    for strike in sorted(strikes, key=lambda strike: strike.ended):
        if last is None or (
            strike.began >= last.ended - TIME_TOLERANCE_SECONDS
            and not strike.is_same_crash(last)
        ):
            count += 1
            last = strike
    return count
