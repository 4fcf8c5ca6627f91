"""503 responses with Retry-After from a stand-in target."""

from dataclasses import dataclass, field

import anyio

GRACE_SECONDS = 0.5
"""Time after a refusal in which requests already in flight may still arrive."""


@dataclass(slots=True)
class Refusals:
    """
    Refuse requests during a period and ask each caller to back off.

    Requests from ``start`` until ``end``, in seconds, are refused. ``retry_after`` is
    the value of the header, ``seconds`` the backoff that it stands for. ``arrivals``
    holds the time and the caller of each request, ``refused`` those of each refused
    one.
    """

    start: float = 0.0
    end: float = 0.0
    retry_after: str = "3"
    seconds: float = 3.0
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    refused: list[tuple[float, str]] = field(default_factory=list)

    def refuse(self, start: float, end: float, seconds: float) -> None:
        """Refuse all requests in a period, with a Retry-After of ``seconds``."""
        self.start, self.end = start, end
        self.seconds, self.retry_after = seconds, f"{seconds:g}"

    def record_arrival(self, caller: str) -> bool:
        """Record an arrival; return whether it is refused."""
        now = anyio.current_time()
        self.arrivals.append((now, caller))
        if not self.start <= now < self.end:
            return False
        self.refused.append((now, caller))
        return True

    def max_early_requests(self) -> int:
        """
        Return the most requests that one caller sent within a backoff.

        >>> refusals = Refusals(refused=[(1.0, "a")])
        >>> refusals.arrivals += [(1.0, "a"), (2.0, "a"), (2.5, "b"), (4.5, "a")]
        >>> refusals.max_early_requests()
        1
        """
        return max(
            (self._early_requests(at, caller) for at, caller in self.refused), default=0
        )

    def _early_requests(self, refused_at: float, caller: str) -> int:
        start, end = refused_at + GRACE_SECONDS, refused_at + self.seconds
        return sum(
            sender == caller and start <= at < end for at, sender in self.arrivals
        )
