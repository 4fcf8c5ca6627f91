"""
One entry's part of a retry budget that all entries share.

It answers failures of many targets at once, where every request would be sent
again: over any window a service may get, beyond the first attempt of each
request, a share of its requests and a fixed reserve, all entries together.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

USED_SHARE = 0.7
"""Part of the allowance that is used: entries count in windows of their own,
and one that just started does not know yet how many others there are."""


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """
    State what the platform allows in any ``window`` seconds.

    ``ratio`` is the share of the requests; ``reserve`` is allowed besides.
    """

    ratio: float
    reserve: float
    window: float


class SharedRetryBudget:
    """
    Count requests and repeats a service and allow this entry's part.

    >>> budget = SharedRetryBudget(RetryAllowance(0.2, 20.0, 10.0), lambda: 5)
    >>> [budget.spend("s", now=1.0) for _ in range(4)]
    [True, True, False, False]
    >>> budget.spend("s", now=11.5)
    True
    """

    def __init__(self, allowance: RetryAllowance, entries: Callable[[], int]) -> None:
        self.allowance = allowance
        self.entries = entries
        self.requests: dict[str, deque[float]] = {}
        self.retries: dict[str, deque[float]] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        self._recent(self.requests, service, now).append(now)

    def spend(self, service: str, now: float) -> bool:
        """Take one repeat out; tell whether there was one."""
        requests = self._recent(self.requests, service, now)
        repeats = self._recent(self.retries, service, now)
        reserve = self.allowance.reserve / max(self.entries(), 1)
        allowed = USED_SHARE * (self.allowance.ratio * len(requests) + reserve)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _recent(
        self, counts: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = counts.setdefault(service, deque())
        while times and times[0] <= now - self.allowance.window:
            times.popleft()
        return times
