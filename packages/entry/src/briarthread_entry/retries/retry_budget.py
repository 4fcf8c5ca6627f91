"""Budget of retries."""

from briarthread_entry.limits.token_bucket import TokenBucket

RETRIES_PER_SUCCESS = 0.2
"""Retries allowed for each success."""
MAX_TOKENS = 10.0
"""Largest number of retries that can be saved up."""
REFILL_PER_SECOND = 0.5
"""Retries allowed per second while nothing succeeds."""


class RetryBudget:
    """
    Allow retries in proportion to recent successes.

    Under overload there are few successes and so few retries; retries therefore do
    not multiply the load on the targets. A new budget is empty, so that an entry that
    is restarted again and again adds none. ``started`` is the time of its start.

    >>> budget = RetryBudget(started=5.0)
    >>> budget.spend(now=6.0)
    False
    >>> for _ in range(3):
    ...     budget.note_success()
    >>> budget.spend(now=6.0)
    True
    """

    def __init__(self, started: float) -> None:
        self.bucket = TokenBucket(started)

    def note_success(self) -> None:
        """Add a fraction of a retry for a success."""
        tokens = self.bucket.tokens + RETRIES_PER_SUCCESS
        self.bucket.tokens = min(MAX_TOKENS, tokens)

    def spend(self, now: float) -> bool:
        """Take one retry out of the budget; return whether one was available."""
        self.bucket.refill(REFILL_PER_SECOND, MAX_TOKENS, now)
        return self.bucket.take()
