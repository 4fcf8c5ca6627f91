"""Recognition of callers who come back after a refusal."""

RETRY_TIME_SHARE = 0.95
"""Part of the usual time under which a caller has been here before."""


class ClientRetryDetector:
    """
    Tell who comes back by the time that the caller has left.

    Callers of a route all start with the same time; one with clearly less has
    spent the rest on an earlier attempt.

    >>> detector = ClientRetryDetector()
    >>> detector.is_client_retry("book", 8.0), detector.is_client_retry("book", 6.1)
    (False, True)
    """

    def __init__(self) -> None:
        self.usual: dict[str, float] = {}

    def is_client_retry(self, route: str, time_left: float | None) -> bool:
        """Tell whether a caller with this time left was here before."""
        if time_left is None:
            return False
        usual = max(self.usual.get(route, 0.0), time_left)
        self.usual[route] = usual
        return time_left < usual * RETRY_TIME_SHARE
