"""
Print the resident memory that a number of items needs in a fresh process, in bytes.

Usage:
  memory_probe KIND COUNT
"""

import asyncio
import os
import random
from collections.abc import Callable

import anyio
from docopt import docopt

from briarthread_agent.attempts.record import Record
from briarthread_agent.attempts.record_store import RecordStore
from briarthread_common.feeds.feed_set import FeedSet
from briarthread_common.messages.attempt import Attempt
from briarthread_common.messages.expert_map import round_robin_map
from briarthread_common.shares.share_view import ShareView
from briarthread_common.spread.directory import Directory
from briarthread_common.text.text_view import TextView
from briarthread_common.utils.clock import Clock
from briarthread_common.utils.hashing import random_id
from briarthread_entry.limits.account_limiter import AccountLimiter
from briarthread_measure.full_size import (
    DATA_CENTRES,
    EXPERTS,
    GROUP_RANKS,
    instance_items,
    share_items,
    snapshot_patch,
    text_sections,
)
from briarthread_measure.process_usage import read_usage

RESPONSE_BYTES = 500
ADDRESSES = ["127.0.0.1:9999"]


def build_accounts(count: int) -> object:
    """Build a services text with ``count`` accounts, raw and parsed."""
    feeds = FeedSet()
    feeds.text.install(snapshot_patch("text", text_sections(count)))
    view = TextView(feeds.text)
    return feeds, view.current()


def build_services(count: int) -> object:
    """Build a services text with ``count`` services."""
    feeds = FeedSet()
    feeds.text.install(snapshot_patch("text", text_sections(0, count)))
    view = TextView(feeds.text)
    return feeds, view.current()


def build_instances(count: int) -> object:
    """Build an instance list, raw and parsed."""
    feeds = FeedSet()
    feeds.instances.install(
        snapshot_patch("instances", instance_items(0, count, ADDRESSES))
    )
    directory = Directory(feeds.instances)
    return feeds, directory.all(), directory


def build_shares(count: int) -> object:
    """Build share rows, raw and parsed."""
    services = max(count // (DATA_CENTRES * 12), 1)
    feeds = FeedSet()
    items = share_items(services)
    feeds.shares.install(snapshot_patch("shares", items))
    view = ShareView(feeds.shares)
    rows = [
        view.get(service, data_centre, int(share))
        for service, data_centre, share in (name.split("/") for name in items)
    ]
    return feeds, view, rows


def build_keys(count: int) -> object:
    """Build records of idempotency keys with a response each."""
    rng = random.Random(1)
    record_store = RecordStore(Clock())
    for _ in range(count):
        attempt = Attempt(
            key=f"client/{random_id(rng)}",
            id=random_id(rng),
            service="model-0",
            incarnation="0123456789abcdef",
            deadline=60.0,
            account="client",
            method="POST",
            path="/bookings",
            idempotent=False,
            keyed=True,
        )
        record = Record(attempt, rng.getrandbits(64), 120.0, 1 << 20)
        record.response.start(200, (("content-type", "application/json"),))
        record.response.add(bytes(rng.randbytes(RESPONSE_BYTES)))
        record.response.finish()
        record_store.add(record)
    return record_store


def build_buckets(count: int) -> object:
    """Build the limiter state of ``count`` active accounts."""
    feeds = FeedSet()
    feeds.text.install(snapshot_patch("text", text_sections(count)))
    accounts = TextView(feeds.text).current().accounts
    before = read_usage(os.getpid()).rss
    limiter = AccountLimiter(Clock())
    for account in accounts.values():
        limiter.acquire(account, 1)
    return before, feeds, limiter


def build_layers(count: int) -> object:
    """Build ``count`` expert maps of one layer each."""
    return [round_robin_map(1, 1, EXPERTS, GROUP_RANKS) for _ in range(count)]


PROBES: dict[str, Callable[[int], object]] = {
    "accounts": build_accounts,
    "services": build_services,
    "instances": build_instances,
    "shares": build_shares,
    "keys": build_keys,
    "buckets": build_buckets,
    "layers": build_layers,
}


async def probe(kind: str, count: int) -> int:
    """Return the growth of the resident memory in bytes."""
    PROBES[kind](1)
    before = read_usage(os.getpid()).rss
    state = PROBES[kind](count)
    after = read_usage(os.getpid()).rss
    if kind == "buckets":
        before = state[0]
    await asyncio.sleep(0)
    return after - before


def main() -> None:
    """Print the number of bytes."""
    arguments = docopt(__doc__)
    print(anyio.run(probe, arguments["KIND"], int(arguments["COUNT"])))


if __name__ == "__main__":
    main()
