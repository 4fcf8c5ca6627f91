"""The place of a request among those that wait for room."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class WaitingPlace:
    """
    Order those who wait for one service; the least goes first.

    >>> new = WaitingPlace(False, 1, 5.0, "b", "model")
    >>> new < WaitingPlace(True, 0, 1.0, "a", "model")
    True
    """

    is_client_retry: bool
    priority: int
    arrived: float
    request: str
    service: str

    def is_before(self, other: "WaitingPlace") -> bool:
        """Tell whether this one is let in before another of its service."""
        return self.service == other.service and self < other
