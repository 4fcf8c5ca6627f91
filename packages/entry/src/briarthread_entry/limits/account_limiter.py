"""What each client account may use of this entry."""

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.text.account import Account
from briarthread_common.utils.clock import Clock
from briarthread_entry.limits.token_bucket import TokenBucket

MAX_BUCKETS = 4096
MIN_CONCURRENCY = 2


class AccountLimiter:
    """
    Bound each account's rate and concurrency.

    The text states both for a data centre; an entry enforces its part, one
    over the number of live entries that it knows of there.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.buckets: dict[str, TokenBucket] = {}
        self.running: dict[str, int] = {}

    def acquire(self, account: Account, entries: int) -> None:
        """
        Count a request of the account until ``release`` is called.

        Raise RequestError at once when the account's part is used up.
        """
        entries = max(entries, 1)
        self._check_concurrency(account, entries)
        self._check_rate(account, entries)
        self.running[account.name] = self.running.get(account.name, 0) + 1

    def release(self, account: Account) -> None:
        """Note that a request of the account has ended."""
        self.running[account.name] -= 1
        if not self.running[account.name]:
            del self.running[account.name]

    def _check_concurrency(self, account: Account, entries: int) -> None:
        part = max(MIN_CONCURRENCY, -(-account.concurrency // entries))
        if self.running.get(account.name, 0) >= part:
            raise RequestError(
                ErrorKind.ACCOUNT_CONCURRENCY, f"{part} calls are in flight here"
            )

    def _check_rate(self, account: Account, entries: int) -> None:
        rate = account.rate / entries
        bucket = self.buckets.get(account.name)
        if bucket is None:
            self._drop_idle()
            bucket = TokenBucket(tokens=max(rate, 1.0), updated=self.clock.now())
            self.buckets[account.name] = bucket
        wait = bucket.take(rate, self.clock.now())
        if wait > 0:
            raise RequestError(
                ErrorKind.ACCOUNT_RATE,
                f"{rate:g} calls a second are allowed here",
                retry_after=wait,
            )

    def _drop_idle(self) -> None:
        if len(self.buckets) >= MAX_BUCKETS:
            oldest = min(self.buckets, key=lambda name: self.buckets[name].updated)
            del self.buckets[oldest]
