"""Share of each account's requests that no reserve holds back."""

import random

UNRESERVED_SHARE = 0.4
"""Fraction of an account's requests of a priority that are compared with the plain
limit: under a long overload no account and no priority gets less."""
MAX_COUNTERS = 20_000
"""Largest number of counters, for 4,200 accounts with a few priorities each. The oldest
one is dropped, which costs its account the place in the count only."""


class UnreservedShares:
    """
    Choose the unreserved requests of each account and priority by a counter.

    A counter grows by the share with each request and chooses the request with which
    it reaches a whole number. Of any ``n`` consecutive requests at least
    ``n`` x share - 1 are therefore chosen. It starts at a random fraction, so that a
    first request is chosen as often as any other. If every counter started at the same
    value, the first requests of all accounts at all entries would be chosen together,
    and then none of the next ones.

    >>> shares = UnreservedShares(random.Random(1))
    >>> [shares.choose("salon", 2) for _ in range(10)].count(True)
    4
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.counters: dict[tuple[str, int], float] = {}

    def choose(self, account: str, priority: int) -> bool:
        """Count a request and return whether it is unreserved."""
        key = (account, priority)
        counter = self.counters.get(key)
        if counter is None:
            counter = self._start(key)
        counter += UNRESERVED_SHARE
        chosen = counter >= 1
        self.counters[key] = counter - 1 if chosen else counter
        return chosen

    def _start(self, key: tuple[str, int]) -> float:
        if len(self.counters) >= MAX_COUNTERS:
            del self.counters[next(iter(self.counters))]
        self.counters[key] = self.rng.random()
        return self.counters[key]
