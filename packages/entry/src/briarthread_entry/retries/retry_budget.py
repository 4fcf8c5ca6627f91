"""Budget of retries."""

from dataclasses import dataclass

RETRIES_PER_SUCCESS = 0.2
"""Retries allowed for each success."""
MAX_TOKENS = 10.0
"""Largest number of retries that can be saved up."""
REFILL_PER_SECOND = 0.5
"""Retries allowed per second while nothing succeeds."""


@dataclass(slots=True)
class RetryBudget:
    """
    Allow retries in proportion to recent successes.

    Under overload there are few successes and so few retries; retries therefore do
    not multiply the load on the targets. A new budget is empty, so that an entry that
    is restarted again and again adds none. ``updated`` is the time of the last refill.

    >>> budget = RetryBudget(updated=5.0)
    >>> budget.spend(now=6.0)
    False
    >>> for _ in range(3):
    ...     budget.note_success()
    >>> budget.spend(now=6.0)
    True
    """

    updated: float
    tokens: float = 0.0

    def note_success(self) -> None:
        """Add a fraction of a retry for a success."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRIES_PER_SUCCESS)

    def spend(self, now: float) -> bool:
        """Take one retry out of the budget; return whether one was available."""
        gained = (now - self.updated) * REFILL_PER_SECOND
        self.tokens = min(MAX_TOKENS, self.tokens + gained)
        self.updated = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
