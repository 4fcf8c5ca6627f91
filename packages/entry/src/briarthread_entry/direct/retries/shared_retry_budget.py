"""
One entry's part of the retry budget that all entries share.

The budget limits retries when many targets fail at once and every request would be
retried. In any window all entries together may send to a service, in addition to the
first attempt of each request, a fraction of its requests and a fixed reserve.

Each entry has a token bucket for each service. Requests and time fill it, and a retry
takes one token. A new bucket is empty: a process that is killed may have used its whole
part, and the one that follows it must not use the part again within the same window.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from briarthread_entry.limits.token_bucket import TokenBucket

USED_SHARE = 0.9
"""Fraction of the allowance that is used. An attempt that waits for its connection
arrives up to about a second, a tenth of a window, after it was charged."""
SAVED_SHARE = 0.5
"""Fraction of the part that an entry may save up for a burst of failures. It gets the
rest evenly, with its requests and over time."""


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """
    The retries that the platform allows in any ``window`` seconds.

    ``ratio`` is the fraction of requests that may be retried, ``reserve`` the number of
    retries allowed in addition.
    """

    ratio: float
    reserve: float
    window: float


@dataclass(slots=True)
class _Bucket(TokenBucket):
    """The tokens for a service, and the times of the requests of the last window."""

    requests: deque[float] = field(default_factory=deque)


class SharedRetryBudget:
    """
    Limit the retries to each service to this entry's part.

    ``entries`` returns the number of entries that share the budget, 0 while it is not
    known; the entry then gets no part of the reserve. ``started`` is the time at which
    the entry started. Times are the runtime's, in seconds.

    >>> budget = SharedRetryBudget(RetryAllowance(0.2, 20.0, 10.0), lambda: 5, 0.0)
    >>> [budget.spend("s", now=20.0) for _ in range(2)]
    [True, False]
    >>> for _ in range(10):
    ...     budget.note_request("s", now=21.0)
    >>> budget.spend("s", now=21.0)
    True
    """

    def __init__(
        self, allowance: RetryAllowance, entries: Callable[[], int], started: float
    ) -> None:
        self.allowance = allowance
        self.entries = entries
        self.started = started
        self.buckets: dict[str, _Bucket] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        bucket = self._refilled(service, now)
        bucket.requests.append(now)
        bucket.tokens += (1 - SAVED_SHARE) * USED_SHARE * self.allowance.ratio

    def spend(self, service: str, now: float) -> bool:
        """Consume one retry and return whether the budget allowed it."""
        return self._refilled(service, now).take()

    def describe(self, service: str, now: float) -> str:
        """Return the figures that the next decision rests on, for logs."""
        bucket = self._refilled(service, now)
        return (
            f"{bucket.tokens:.1f} retries left, {len(bucket.requests)} requests, "
            f"{self.entries()} entries known, running for {now - self.started:.1f} s"
        )

    def _refilled(self, service: str, now: float) -> _Bucket:
        """Return the bucket of a service with its tokens of this moment."""
        bucket = self.buckets.setdefault(service, _Bucket(self.started))
        window = self.allowance.window
        while bucket.requests and bucket.requests[0] <= now - window:
            bucket.requests.popleft()
        reserve = self._reserve()
        per_request = USED_SHARE * self.allowance.ratio
        capacity = SAVED_SHARE * (reserve + per_request * len(bucket.requests))
        bucket.refill((1 - SAVED_SHARE) * reserve / window, capacity, now)
        return bucket

    def _reserve(self) -> float:
        """Return this entry's part of the reserve in each window."""
        entries = self.entries()
        return USED_SHARE * self.allowance.reserve / entries if entries else 0.0
