"""The bound on attempts sent again."""

from dataclasses import dataclass

RATIO = 0.2
"""Retries allowed for each success."""
RESERVE = 10.0
REFILL = 0.5
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

    tokens: float = RESERVE
    updated: float = 0.0

    def note_success(self) -> None:
        """Earn a part of a retry."""
        self.tokens = min(RESERVE, self.tokens + RATIO)

    def spend(self, now: float) -> bool:
        """Take one retry out; tell whether there was one."""
        if self.updated:
            self.tokens = min(RESERVE, self.tokens + (now - self.updated) * REFILL)
        self.updated = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
