"""Detection of callers that retry after a refusal."""

RETRY_TIME_SHARE = 0.95
"""Fraction of the full time budget below which a request is taken for a retry."""


class ClientRetryDetector:
    """
    Detect retries of callers by their remaining time budget.

    All callers of a route start with the same time budget. One with clearly less has
    spent the difference on an earlier attempt.

    >>> detector = ClientRetryDetector()
    >>> detector.is_client_retry("book", 8.0), detector.is_client_retry("book", 6.1)
    (False, True)
    """

    def __init__(self) -> None:
        self.full_budgets: dict[str, float] = {}

    def is_client_retry(self, route: str, time_left: float | None) -> bool:
        """Return whether a caller with this remaining time has already tried."""
        if time_left is None:
            return False
        full_budget = max(self.full_budgets.get(route, 0.0), time_left)
        self.full_budgets[route] = full_budget
        return time_left < full_budget * RETRY_TIME_SHARE
