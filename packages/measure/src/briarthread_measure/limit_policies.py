"""Policies for sharing the rate limit that a target announces among all entries."""

import math
from collections.abc import Callable

import anyio

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.messages.instance import InstanceRole
from briarthread_common.utils.hashing import rendezvous_order
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.limits.token_bucket import TokenBucket

Prepare = Callable[[DirectEntry], None]


def single_issuer(entry: DirectEntry) -> None:
    """Leave the entry unchanged: one entry issues the target's tokens to all."""


def ignore_limits(entry: DirectEntry) -> None:
    """Send as if no target had announced a limit."""
    entry.tokens.is_limited = lambda target: False


def equal_shares(entry: DirectEntry) -> None:
    """Give each entry an equal share of the rate, with a burst of one request."""

    def share_of(target: DirectTarget, limit: float) -> float:
        return limit / max(len(entry.directory.of_role(InstanceRole.ENTRY)), 1)

    _replace_acquire(entry, share_of)


def few_senders(entry: DirectEntry) -> None:
    """Let only as many entries send as the limit has whole requests per second."""

    def share_of(target: DirectTarget, limit: float) -> float:
        entries = entry.directory.of_role(InstanceRole.ENTRY)
        sender_count = max(math.floor(limit), 1)
        senders = rendezvous_order(target.name, entries)[:sender_count]
        return limit / sender_count if entry.settings.name in senders else 0.0

    _replace_acquire(entry, share_of)


def _replace_acquire(
    entry: DirectEntry, share_of: Callable[[DirectTarget, float], float]
) -> None:
    buckets: dict[str, TokenBucket] = {}

    async def acquire_share(target: DirectTarget, wait: float) -> bool:
        now = anyio.current_time()
        rate = share_of(target, entry.limits.limit_of(target.name) or 0.0)
        if rate <= 0:
            entry.tokens.denied_until[target.name] = now + 1.0
            return False
        bucket = buckets.setdefault(target.name, TokenBucket(now, 1.0))
        bucket.refill(rate, max(rate, 1.0), now)
        is_granted = bucket.take()
        if not is_granted:
            entry.tokens.denied_until[target.name] = now + bucket.pause(rate)
        return is_granted

    entry.tokens.acquire = acquire_share


POLICIES: dict[str, Prepare] = {
    "no limit kept": ignore_limits,
    "even parts": equal_shares,
    "few holders": few_senders,
    "dealt by one entry": single_issuer,
}
