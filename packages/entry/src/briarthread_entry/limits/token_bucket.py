"""A token bucket."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """
    Hold tokens that are added over time, up to a capacity.

    ``updated`` is the time of the last refill, in seconds.

    >>> bucket = TokenBucket(updated=0.0)
    >>> bucket.refill(rate=2.0, capacity=1.0, now=10.0)
    >>> bucket.take(), bucket.take()
    (True, False)
    """

    updated: float
    tokens: float = 0.0

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Add ``rate`` tokens for each second since the last refill."""
        self.tokens = min(capacity, self.tokens + (now - self.updated) * rate)
        self.updated = now

    def take(self) -> bool:
        """Take a token and return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def pause(self, rate: float) -> float:
        """Return the seconds until there is a token, at ``rate`` tokens per second."""
        return max(1.0 - self.tokens, 0.0) / rate
