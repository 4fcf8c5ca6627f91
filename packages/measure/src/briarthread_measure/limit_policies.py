"""Ways to share a limit that a target names among all entries."""

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
    """Leave an entry as it is: it asks the one that deals the limit."""


def ignore_limits(entry: DirectEntry) -> None:
    """Send as if no target named a limit."""
    entry.tokens.is_limited = lambda target: False


def equal_shares(entry: DirectEntry) -> None:
    """Give each entry its part of the rate, with room for one request."""

    def part(target: DirectTarget, limit: float) -> float:
        return limit / max(len(entry.directory.of_role(InstanceRole.ENTRY)), 1)

    _take_by(entry, part)


def few_senders(entry: DirectEntry) -> None:
    """Let as many entries send as the limit has whole requests a second."""

    def part(target: DirectTarget, limit: float) -> float:
        entries = entry.directory.of_role(InstanceRole.ENTRY)
        number = max(math.floor(limit), 1)
        holders = rendezvous_order(target.name, entries)[:number]
        return limit / number if entry.settings.name in holders else 0.0

    _take_by(entry, part)


def _take_by(entry: DirectEntry, part: Callable[[DirectTarget, float], float]) -> None:
    buckets: dict[str, TokenBucket] = {}

    async def take(target: DirectTarget, wait: float) -> bool:
        now = anyio.current_time()
        rate = part(target, entry.limits.limit_of(target.name) or 0.0)
        if rate <= 0:
            entry.tokens.denied_until[target.name] = now + 1.0
            return False
        bucket = buckets.setdefault(target.name, TokenBucket(1.0, now))
        pause = bucket.take(rate, now)
        if pause > 0:
            entry.tokens.denied_until[target.name] = now + pause
        return pause == 0

    entry.tokens.acquire = take


POLICIES: dict[str, Prepare] = {
    "no limit kept": ignore_limits,
    "even parts": equal_shares,
    "few holders": few_senders,
    "dealt by one entry": single_issuer,
}
