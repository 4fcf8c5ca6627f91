"""Load of one priority."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PriorityLoad:
    """
    Describe the load of one priority; times are in seconds.

    ``rate`` requests arrive per second, and ``burst_rate`` instead for
    ``burst_seconds`` from ``burst_at`` on.

    >>> load = PriorityLoad(2, 4.0, burst_rate=40.0, burst_at=3.0, burst_seconds=5.0)
    >>> load.rate_at(2.0), load.rate_at(3.0), load.rate_at(8.0)
    (4.0, 40.0, 4.0)
    """

    priority: int
    rate: float
    burst_rate: float = 0.0
    burst_at: float = 0.0
    burst_seconds: float = 0.0

    def rate_at(self, elapsed: float) -> float:
        """Return the requests per second at a time since the start of the load."""
        in_burst = 0 <= elapsed - self.burst_at < self.burst_seconds
        return self.burst_rate if in_burst else self.rate
