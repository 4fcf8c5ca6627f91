"""Order of the requests that wait for capacity."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class WaitingPlace:
    """
    Order the requests that wait for one service; the smallest is admitted first.

    >>> first = WaitingPlace(False, 1, 5.0, "b", "model")
    >>> first < WaitingPlace(True, 0, 1.0, "a", "model")
    True
    """

    is_client_retry: bool
    priority: int
    arrived: float
    request: str
    service: str

    def is_before(self, other: "WaitingPlace") -> bool:
        """Return whether this request is admitted before another of its service."""
        return self.service == other.service and self < other
