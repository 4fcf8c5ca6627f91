"""The bound on attempts sent again."""

from dataclasses import dataclass

RETRIES_PER_SUCCESS = 0.2
"""Retries allowed for each success."""
MAX_TOKENS = 10.0
REFILL_PER_SECOND = 0.5
"""Retries allowed a second while nothing succeeds."""


@dataclass(slots=True)
class RetryBudget:
    """
    Allow retries as a share of recent successes.

    Under overload successes get rare and so do retries; they never multiply
    what overloads the targets.

    >>> budget = RetryBudget(tokens=0.5)
    >>> budget.spend(now=0.0)
    False
    >>> for _ in range(3):
    ...     budget.note_success()
    >>> budget.spend(now=0.0)
    True
    """

    tokens: float = MAX_TOKENS
    updated: float = 0.0

    def note_success(self) -> None:
        """Earn a part of a retry."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRIES_PER_SUCCESS)

    def spend(self, now: float) -> bool:
        """Take one retry out; tell whether there was one."""
        if self.updated:
            self.tokens = min(
                MAX_TOKENS, self.tokens + (now - self.updated) * REFILL_PER_SECOND
            )
        self.updated = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
