"""Oracle of the bound on the retries that all entries send to a service."""

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance
from briarthread_standins.direct_worker import DirectWorker

AFTER_SECONDS = 1e-6
"""Time by which a window that ends with a retry reaches beyond it."""


@dataclass(frozen=True, slots=True)
class RetryExcess:
    """The window from ``start`` in which retries exceeded the bound by most."""

    start: float
    retries: int
    allowed: float

    @property
    def excess(self) -> float:
        """Return the number of retries above the bound, negative if it was kept."""
        return self.retries - self.allowed


@dataclass(slots=True)
class ServiceTraffic:
    """
    Times of a service's requests and retries at all entries, in seconds.

    >>> traffic = ServiceTraffic([0.0, 1.0], [1.0, 2.0, 3.0])
    >>> traffic.worst_window(RetryAllowance(0.5, 1.0, 10.0))
    RetryExcess(start=1.0, retries=3, allowed=2.0)
    """

    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)

    def worst_window(self, allowance: RetryAllowance) -> RetryExcess:
        """
        Return the worst of the windows that begin or end with a retry.

        The requests are counted in the window, in the one before or in the one half a
        window earlier, whichever has most.
        """
        requests, retries = sorted(self.requests), sorted(self.retries)
        length = allowance.window
        windows = [RetryExcess(0.0, 0, allowance.reserve)]
        ends = [at - length + AFTER_SECONDS for at in retries]
        for start in [*retries, *ends]:
            most = max(
                _count(requests, start - offset, length)
                for offset in (0.0, length / 2, length)
            )
            allowed = allowance.ratio * most + allowance.reserve
            windows.append(RetryExcess(start, _count(retries, start, length), allowed))
        return max(windows, key=lambda window: window.excess)


def arrivals_beyond_the_first(workers: Sequence[DirectWorker]) -> list[float]:
    """Return the times of arrivals of requests after their first, rejected or not."""
    arrivals = sorted(
        (headers["x-request-id"], at)
        for worker in workers
        for headers, at in zip(worker.received_headers, worker.arrivals, strict=True)
    )
    return [
        at
        for (first_id, _), (second_id, at) in pairwise(arrivals)
        if first_id == second_id
    ]


def _count(times: Sequence[float], start: float, length: float) -> int:
    """Return how many sorted times lie in ``length`` seconds from ``start`` on."""
    return bisect_left(times, start + length) - bisect_left(times, start)
