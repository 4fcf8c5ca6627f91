"""Rate and concurrency limits of client accounts."""

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.text.account import Account
from briarthread_common.utils.clock import Clock
from briarthread_entry.limits.token_bucket import TokenBucket

MAX_BUCKETS = 4096
"""Accounts whose token buckets are kept; the least recently used one is dropped."""
MIN_CONCURRENCY = 2
"""Smallest number of concurrent calls that an entry allows an account."""


class AccountLimiter:
    """
    Limit the rate and concurrency of each account.

    The services text states both limits per data centre. Each entry enforces them
    divided by the number of live entries that it knows in the data centre.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.buckets: dict[str, TokenBucket] = {}
        self.running: dict[str, int] = {}

    def acquire(self, account: Account, entries: int) -> None:
        """
        Count a request of the account until ``release`` is called.

        Raise RequestError at once if the account's limit on this entry is reached.
        """
        entries = max(entries, 1)
        self._check_concurrency(account, entries)
        self._check_rate(account, entries)
        self.running[account.name] = self.running.get(account.name, 0) + 1

    def release(self, account: Account) -> None:
        """Stop counting a request of the account that has ended."""
        self.running[account.name] -= 1
        if not self.running[account.name]:
            del self.running[account.name]

    def _check_concurrency(self, account: Account, entries: int) -> None:
        limit = max(MIN_CONCURRENCY, -(-account.concurrency // entries))
        if self.running.get(account.name, 0) >= limit:
            raise RequestError(
                ErrorKind.ACCOUNT_CONCURRENCY,
                f"{limit} concurrent calls are allowed on this entry",
            )

    def _check_rate(self, account: Account, entries: int) -> None:
        rate = account.rate / entries
        bucket = self.buckets.get(account.name)
        if bucket is None:
            self._evict_oldest()
            bucket = TokenBucket(self.clock.now(), tokens=max(rate, 1.0))
            self.buckets[account.name] = bucket
        bucket.refill(rate, max(rate, 1.0), self.clock.now())
        if not bucket.take():
            raise RequestError(
                ErrorKind.ACCOUNT_RATE,
                f"{rate:g} calls per second are allowed on this entry",
                retry_after=bucket.pause(rate),
            )

    def _evict_oldest(self) -> None:
        if len(self.buckets) >= MAX_BUCKETS:
            oldest = min(self.buckets, key=lambda name: self.buckets[name].updated)
            del self.buckets[oldest]
