"""Order of the requests that wait for capacity."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class WaitingPlace:
    """
    Order the requests that wait for one service; the smallest is admitted first.

    ``rank`` orders the requests of a service whose routes differ in priority and is 0
    for any other service. Such a service admits new requests before client retries.

    >>> first = WaitingPlace(0, False, 1, 5.0, "b", "model")
    >>> first < WaitingPlace(0, True, 0, 1.0, "a", "model")
    True
    >>> retry = WaitingPlace(request_rank(0, True), True, 0, 5.0, "a", "model")
    >>> new = [WaitingPlace(request_rank(p, False), False, p, 1, "b", "model") for p in
    ...        (1, 2)]
    >>> new[0] < retry < new[1]
    True
    """

    rank: int
    is_client_retry: bool
    priority: int
    arrived: float
    request: str
    service: str

    def is_before(self, other: "WaitingPlace") -> bool:
        """Return whether this request is admitted before another of its service."""
        return self.service == other.service and self < other


def request_rank(priority: int, is_client_retry: bool) -> int:
    """
    Return the rank of a request; a client retry ranks one step less urgent.

    A caller that is refused twice is lost, but a new request can still be in time.
    """
    return priority + is_client_retry
