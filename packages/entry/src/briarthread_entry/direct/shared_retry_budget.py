"""
One entry's part of the retry budget that all entries share.

The budget limits retries when many targets fail at once and every request would be
retried. In any window all entries together may send to a service, in addition to the
first attempt of each request, a fraction of its requests and a fixed reserve.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

USED_SHARE = 0.7
"""Fraction of the allowance that is used. Each entry counts in its own window, and an
entry that has just started does not know yet how many others there are."""


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


class SharedRetryBudget:
    """
    Count requests and retries per service and limit retries to this entry's part.

    >>> budget = SharedRetryBudget(RetryAllowance(0.2, 20.0, 10.0), lambda: 5)
    >>> [budget.spend("s", now=1.0) for _ in range(4)]
    [True, True, False, False]
    >>> budget.spend("s", now=11.5)
    True
    """

    def __init__(self, allowance: RetryAllowance, entries: Callable[[], int]) -> None:
        self.allowance = allowance
        self.entries = entries
        self.started = 0.0
        self.requests: dict[str, deque[float]] = {}
        self.retries: dict[str, deque[float]] = {}

    def start(self, now: float) -> None:
        """Note when the entry started."""
        self.started = now

    def note_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        self._recent(self.requests, service, now).append(now)

    def spend(self, service: str, now: float) -> bool:
        """Consume one retry and return whether the budget allowed it."""
        requests = self._recent(self.requests, service, now)
        retries = self._recent(self.retries, service, now)
        reserve = self.allowance.reserve / max(self.entries(), 1)
        allowed = USED_SHARE * (self.allowance.ratio * len(requests) + reserve)
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def describe(self, service: str, now: float) -> str:
        """Return the figures that the next decision rests on, for logs."""
        requests = len(self._recent(self.requests, service, now))
        retries = len(self._recent(self.retries, service, now))
        return (
            f"{retries} retries for {requests} requests, "
            f"{self.entries()} entries known, "
            f"running for {now - self.started:.1f} s"
        )

    def _recent(
        self, counts: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = counts.setdefault(service, deque())
        while times and times[0] <= now - self.allowance.window:
            times.popleft()
        return times
