"""A token bucket."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """
    Hold tokens that are added at a rate, up to those of one second.

    >>> bucket = TokenBucket(tokens=1.0, updated=0.0)
    >>> bucket.take(rate=2.0, now=0.0)
    0.0
    >>> bucket.take(rate=2.0, now=0.0)
    0.5
    """

    tokens: float
    updated: float

    def take(self, rate: float, now: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        self.tokens = min(max(rate, 1.0), self.tokens + (now - self.updated) * rate)
        self.updated = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / rate
