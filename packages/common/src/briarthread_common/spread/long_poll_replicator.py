"""Replication of feeds from a platform that supports long polling."""

import random

import anyio
from loguru import logger

from briarthread_common.core.exceptions import (
    ChannelError,
    HistoryTruncatedError,
    PlatformError,
)
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_common.feeds.feed_set import FeedSet
from briarthread_common.http.channel import Channel
from briarthread_common.messages.exchange import Exchange
from briarthread_common.spread.directory import Directory
from briarthread_common.spread.feed_replicator import FeedReplicator
from briarthread_common.spread.feed_source import LongPollSource
from briarthread_common.spread.replication_options import ReplicationOptions
from briarthread_common.spread.source_health import SourceHealth

LONG_POLL_SECONDS = 4.0
"""Maximum wait in one call, in seconds. It bounds the time to notice that the platform
is silent, and what is written after its return must be in force within seconds."""
LONG_POLL_PAUSE_SECONDS = 0.25
"""Pause between two calls for one feed, in seconds, so that a burst of changes takes
few calls. It is the maximum added delay of a change, far below the allowed two
seconds."""
RETRY_SECONDS = 0.4
"""Mean pause after a failed call, in seconds: short enough to read changes in time once
the platform is back, long enough not to overload it while it is down."""
LONG_POLLERS = 3
"""Number of entries per data centre that poll the platform directly. Where there are no
more entries than this, all of them poll, so an entry that loses its connection to the
platform does not delay the others."""
POLLER_CHECK_SECONDS = 0.5
"""Interval, in seconds, at which an entry that does not poll exchanges with a poller.
A poller takes about 1.3 s to notice that it is cut off. Both times together must stay
below the two seconds in which a change has to be in force everywhere."""
AGENT_POLLER_CHECK_SECONDS = 2.0
"""The same interval for an agent. It can be longer because an agent serves no callers:
it only needs the addresses of its peers and their engines, and new instances are pushed
to it at once."""
MAX_SOURCE_AGE_SECONDS = LONG_POLL_SECONDS + 1.5
"""Maximum age, in seconds, of the last answer that a poller had from the platform. A
long poll ends before this, and one more answer is due then."""
POLLER_TIMEOUT_SECONDS = 0.4
"""Longest wait, in seconds, for a poller, which answers within milliseconds. All
pollers may be suspended at the same time, and a change must be in force in two
seconds."""
POLLER_CHECK_TRIES = 2
"""Number of pollers tried in a row. A third would come too late if the first two do
not answer."""
SEED_TIMEOUT_SECONDS = 2.0
"""Time, in seconds, for which an agent asks the seeds before it asks the platform.
Calls to the platform are charged for, and agents are more than half of the starting
processes. An agent serves nobody in its first seconds, but outdated seeds must not
delay it any longer."""
START_JITTER_SECONDS = 2.0
"""Interval, in seconds, over which starting entries that are not listed yet begin to
poll. When a whole deployment starts, the first ones read the list and push it to the
others."""
SEED_RETRY_SECONDS = 0.4
"""Pause between two rounds over the seeds, in seconds. Entries that start at the same
time have read the platform by then."""
FALLBACK_POLL_SECONDS = 3.0
"""Time, in seconds, for which an entry polls the platform itself after its pollers
failed."""


class LongPollReplicator(FeedReplicator):
    """
    Replicate feeds from the platform by long polling, or from the pollers.

    A few entries of each data centre, the pollers, hold calls open at the platform
    and push changes to the others at once. Any other entry periodically exchanges
    with a poller. If the pollers do not answer, or have no recent answer from the
    platform themselves, the entry polls the platform for a while. A poller that the
    platform rejects exchanges with peers of all data centres. With ``may_poll``
    off, as for an agent, the process polls only while it knows no entry.
    """

    def __init__(
        self,
        options: ReplicationOptions,
        feeds: FeedSet,
        directory: Directory,
        source: LongPollSource,
        channel: Channel,
        rng: random.Random,
        may_poll: bool = True,
    ) -> None:
        super().__init__(options, feeds, directory, source, channel, rng)
        self.poller_selection.poller_count = LONG_POLLERS
        self.may_poll = may_poll
        self.long_poll_source = source
        self.health = SourceHealth()
        self.fallback_until = 0.0
        self.start_jitter_until = 0.0
        self.peer_health = SourceHealth()

    def source_age(self) -> float:
        """Return the seconds since the platform's last answer."""
        return self.health.age(anyio.current_time())

    def contact_age(self) -> float:
        """Return the seconds since the platform answered this process or a poller."""
        now = anyio.current_time()
        return min(self.health.age(now), self.peer_health.age(now))

    def source_healthy_seconds(self) -> float:
        """Return the seconds for which the platform has been up, 0 if it is down."""
        return self.health.healthy_for(anyio.current_time())

    def healthy_since(self) -> float:
        """
        Return since when the platform is known to be healthy; now if it is not.

        A poller observes this itself. Any other process relies on the pollers'
        reports while they are recent.
        """
        now = anyio.current_time()
        health = self.health if self._is_poller() else self.peer_health
        if not health.up or health.age(now) > MAX_SOURCE_AGE_SECONDS:
            return now
        return health.healthy_since

    def _receive(self, received: Exchange) -> None:
        if received.source_well > 0:
            now = anyio.current_time()
            self.peer_health.note_success(now)
            self.peer_health.healthy_since = now - received.source_well
        super()._receive(received)

    async def catch_up(self) -> None:
        """Install the newest versions; agents ask the seeds before the platform."""
        if not self.may_poll and await self._start_from_seed():
            self.started.set()
            return
        await super().catch_up()
        if self.platform_up:
            pause = self.rng.uniform(0.0, START_JITTER_SECONDS)
            self.start_jitter_until = anyio.current_time() + pause

    async def _start_from_seed(self) -> bool:
        """Try to get all feeds from a seed; tell whether that succeeded."""
        seeds = self.options.seeds
        with anyio.move_on_after(SEED_TIMEOUT_SECONDS):
            while seeds:
                for address in self.rng.sample(seeds, len(seeds)):
                    await self._try_exchange(address)
                    if all(feed.number for feed in self.feeds.all()):
                        return True
                await anyio.sleep(SEED_RETRY_SECONDS)
        return False

    async def _poll_loop(self) -> None:
        async with anyio.create_task_group() as tasks:
            for feed in self.feeds.all():
                tasks.start_soon(self._long_poll_loop, feed)

    async def _exchange_loop(self) -> None:
        while True:
            pause = (
                POLLER_CHECK_SECONDS if self.may_poll else AGENT_POLLER_CHECK_SECONDS
            )
            await anyio.sleep(pause * self.rng.uniform(0.8, 1.2))
            if not self._is_poller():
                await self._exchange_with_poller()
            elif self.source_age() > MAX_SOURCE_AGE_SECONDS:
                await self._exchange_with_any_peer()

    async def _long_poll_loop(self, feed: Feed) -> None:
        cursor = 0
        while True:
            if not self._is_poller() or not self._may_call(feed):
                await anyio.sleep(LONG_POLL_PAUSE_SECONDS)
                cursor = 0 if not self._is_poller() else cursor
                continue
            cursor = max(cursor, feed.number)
            try:
                patch = await self._next_patch(feed, cursor)
            except PlatformError as error:
                self._note_down(feed, error)
                await anyio.sleep(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))
                continue
            self._note_up()
            self._install_after(feed, patch)
            cursor = max(cursor, patch.number)
            await anyio.sleep(LONG_POLL_PAUSE_SECONDS)

    def _may_call(self, feed: Feed) -> bool:
        """Tell whether to call; while the platform is down, only one feed probes it."""
        return self.health.up or feed is self.feeds.all()[0]

    async def _next_patch(self, feed: Feed, cursor: int) -> FeedPatch:
        if cursor == 0:
            return await self.long_poll_source.read_snapshot(feed.name)
        wait = LONG_POLL_SECONDS if self.health.up else 0.0
        try:
            return await self.long_poll_source.long_poll(feed.name, cursor, wait)
        except HistoryTruncatedError as error:
            logger.info("spread: {}: {}; reading a snapshot", feed.name, error)
            return await self.long_poll_source.read_snapshot(feed.name)

    def _install_after(self, feed: Feed, patch: FeedPatch) -> None:
        """
        Install a patch, which may start above the feed's own version.

        Calls that ended without changes advanced the cursor but not the feed, so
        no change lies between the two versions.
        """
        if not patch.changes and patch.base:
            return
        base = min(patch.base, feed.number)
        self.install_all([FeedPatch(feed.name, base, patch.number, patch.changes)])

    async def _exchange_with_poller(self) -> None:
        """
        Exchange with a poller, and with another one if the first is of no use.

        Without the second try, all entries of a data centre would poll the platform
        at once when a poller dies.
        """
        pollers = self.poller_selection.addresses()
        if not pollers:
            self._start_fallback("no entry is known")
            return
        faults: list[str] = []
        for address in self.rng.sample(pollers, min(len(pollers), POLLER_CHECK_TRIES)):
            fault = await self._poller_fault(address)
            if not fault:
                return
            faults.append(fault)
        await self._bypass_pollers(", ".join(faults))

    async def _poller_fault(self, poller: str) -> str:
        """Exchange with a poller; return why it is of no use, or an empty string."""
        try:
            received = await self.exchange_with(poller, POLLER_TIMEOUT_SECONDS)
        except ChannelError as error:
            return f"{poller}: {error}"
        if received.source_well <= 0 or received.source_age > MAX_SOURCE_AGE_SECONDS:
            return (
                f"{poller} has had no platform answer for {received.source_age:.1f} s"
            )
        return ""

    async def _bypass_pollers(self, reason: str) -> None:
        """Poll the platform, or exchange with any peer if this process may not poll."""
        if self.may_poll:
            self._start_fallback(reason)
        else:
            await self._exchange_with_any_peer()

    async def _exchange_with_any_peer(self) -> None:
        address = self._random_peer()
        if address is not None:
            await self._try_exchange(address)

    def _start_fallback(self, reason: str) -> None:
        if not self._is_poller():
            logger.info("spread: polling the platform as a fallback: {}", reason)
        self.fallback_until = anyio.current_time() + FALLBACK_POLL_SECONDS

    def _is_poller(self) -> bool:
        if anyio.current_time() < self.fallback_until:
            return True
        if anyio.current_time() < self.start_jitter_until:
            return self.options.name in self.poller_selection.names()
        return self.may_poll and super()._is_poller()

    def _note_down(self, feed: Feed, error: PlatformError) -> None:
        if self.health.note_failure(anyio.current_time()):
            logger.warning(
                "spread: platform is unreachable, reading {}: {}", feed.name, error
            )
        self.platform_up = False

    def _note_up(self) -> None:
        if self.health.note_success(anyio.current_time()):
            logger.info("spread: platform is reachable")
        self.platform_up = True
