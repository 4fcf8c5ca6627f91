"""A spreader whose platform holds calls open until there is something new."""

import random

import anyio
from loguru import logger

from briarthread_common.core.exceptions import (
    ChannelError,
    HistoryGoneError,
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

FOLLOW_SECONDS = 4.0
"""Longest wait in one call. A silent platform is noticed after it at the
latest, and what is written once it is back must be in force in seconds."""
FOLLOW_PAUSE = 0.25
"""Seconds between two calls for one feed, so that a rush of changes makes few
calls; a change waits no longer than this, far under the two seconds it has."""
RETRY_SECONDS = 0.4
"""Mean pause after a failed call: soon enough to hear of a change in time once
the platform is back, seldom enough not to press it while it is not."""
FOLLOWERS = 3
"""Number of entries per data centre that follow the platform directly. Where there
are no more entries than this, all of them follow, so an entry that loses its
connection to the platform does not delay the others."""
WATCH_SECONDS = 0.5
"""How often one that does not follow asks one that does. A follower notices
within some 1.3 s that it is cut off; both have to fit into the two seconds
that a change has to be in force everywhere."""
WATCH_AGENT_SECONDS = 2.0
"""The same for an agent, which serves no caller: of what changes it needs only
where its peers and their engines are, and those who come are told of at once."""
TRUSTED_AGE = FOLLOW_SECONDS + 1.5
"""Seconds after which a follower's last word from the platform is too old: a
call that is held open ends before, and then one more answer is due."""
WATCH_TRIES = 2
"""Followers asked in a row; a third would come too late where both are silent."""
SEED_PATIENCE = 2.0
"""How long one that does not follow asks the seeds before it asks the platform, s.
Every call to the platform is paid for, and agents are more than half of all who
start; their first seconds serve nobody, but stale seeds must not hold them up."""
UNLISTED_SECONDS = 2.0
"""Time over which entries that start begin to follow without being listed. Where a
whole deployment starts, those who come first read the list and tell the others."""
SEED_SECONDS = 0.4
"""Pause between two such tries; entries that start at the same time have read the
platform by then."""
STAND_IN_SECONDS = 3.0
"""How long one follows itself after its followers failed it."""


class LongPollReplicator(FeedReplicator):
    """
    Follow the platform's feeds, or follow those who do.

    A few entries of each data centre hold calls open at the platform and
    tell the others at once. One that does not follow asks a follower now and
    then; when that one is silent, or has not heard from the platform itself,
    it follows on its own for a while. One that the platform turns away hears
    from peers of every data centre. With ``may_poll`` off, as for an agent, it
    follows only while it knows no entry.
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
        self.poller_selection.poller_count = FOLLOWERS
        self.may_poll = may_poll
        self.followed = source
        self.health = SourceHealth()
        self.standing_in_until = 0.0
        self.unlisted_until = 0.0
        self.peers_well = SourceHealth()

    def source_age(self) -> float:
        """Return the seconds since the platform was last heard from."""
        return self.health.age(anyio.current_time())

    def source_healthy_seconds(self) -> float:
        """Return for how long the platform has answered this process."""
        return self.health.healthy_for(anyio.current_time())

    def healthy_since(self) -> float:
        """
        Return since when the platform is known to be well; now if it is not.

        One that follows knows by itself. Any other takes the word of those
        who do, as long as that is fresh.
        """
        now = anyio.current_time()
        health = self.health if self._on_poll_duty() else self.peers_well
        if not health.up or health.age(now) > TRUSTED_AGE:
            return now
        return health.healthy_since

    def _hear(self, heard: Exchange) -> None:
        if heard.source_well > 0:
            now = anyio.current_time()
            self.peers_well.note_success(now)
            self.peers_well.healthy_since = now - heard.source_well
        super()._hear(heard)

    async def catch_up(self) -> None:
        """Take the highest versions; one that does not follow asks an entry first."""
        if not self.may_poll and await self._start_from_seed():
            self.started.set()
            return
        await super().catch_up()
        if self.platform_up:
            pause = self.rng.uniform(0.0, UNLISTED_SECONDS)
            self.unlisted_until = anyio.current_time() + pause

    async def _start_from_seed(self) -> bool:
        """Tell whether some entry gave all feeds, and the platform need not."""
        seeds = self.options.seeds
        with anyio.move_on_after(SEED_PATIENCE):
            while seeds:
                for address in self.rng.sample(seeds, len(seeds)):
                    await self._exchange_quietly(address)
                    if all(feed.number for feed in self.feeds.all()):
                        return True
                await anyio.sleep(SEED_SECONDS)
        return False

    async def _poll_loop(self) -> None:
        async with anyio.create_task_group() as tasks:
            for feed in self.feeds.all():
                tasks.start_soon(self._follow_loop, feed)

    async def _exchange_loop(self) -> None:
        while True:
            pause = WATCH_SECONDS if self.may_poll else WATCH_AGENT_SECONDS
            await anyio.sleep(pause * self.rng.uniform(0.8, 1.2))
            if not self._on_poll_duty():
                await self._watch_follower()
            elif self.source_age() > TRUSTED_AGE:
                await self._ask_any_peer()

    async def _follow_loop(self, feed: Feed) -> None:
        cursor = 0
        while True:
            if not self._on_poll_duty() or not self._may_call(feed):
                await anyio.sleep(FOLLOW_PAUSE)
                cursor = 0 if not self._on_poll_duty() else cursor
                continue
            cursor = max(cursor, feed.number)
            try:
                patch = await self._next_patch(feed, cursor)
            except PlatformError as error:
                self._note_down(feed, error)
                await anyio.sleep(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))
                continue
            self._note_up()
            self._take(feed, patch)
            cursor = max(cursor, patch.number)
            await anyio.sleep(FOLLOW_PAUSE)

    def _may_call(self, feed: Feed) -> bool:
        """Tell whether to call; while the platform is away, one feed finds out."""
        return self.health.up or feed is self.feeds.all()[0]

    async def _next_patch(self, feed: Feed, cursor: int) -> FeedPatch:
        if cursor == 0:
            return await self.followed.read_snapshot(feed.name)
        wait = FOLLOW_SECONDS if self.health.up else 0.0
        try:
            return await self.followed.long_poll(feed.name, cursor, wait)
        except HistoryGoneError as error:
            logger.info("spread: {}: {}; reading all anew", feed.name, error)
            return await self.followed.read_snapshot(feed.name)

    def _take(self, feed: Feed, patch: FeedPatch) -> None:
        """
        Install a patch, which may start above the feed's own version.

        Calls that ended without news moved the cursor and not the feed, so
        what lies between the two is known to be nothing.
        """
        if not patch.changes and patch.base:
            return
        base = min(patch.base, feed.number)
        self.install_all([FeedPatch(feed.name, base, patch.number, patch.changes)])

    async def _watch_follower(self) -> None:
        """
        Ask a follower, and where it cannot help another one, before all do its work.

        One that has died is missed by every entry of its data centre at once.
        """
        followers = self.poller_selection.addresses()
        if not followers:
            self._stand_in("no entry is known")
            return
        faults: list[str] = []
        for address in self.rng.sample(followers, min(len(followers), WATCH_TRIES)):
            fault = await self._fault_of(address)
            if not fault:
                return
            faults.append(fault)
        await self._do_without(", ".join(faults))

    async def _fault_of(self, follower: str) -> str:
        """Exchange with a follower; return why it is of no use, or nothing."""
        try:
            heard = await self.exchange_with(follower)
        except ChannelError as error:
            return f"{follower}: {error}"
        if heard.source_well <= 0 or heard.source_age > TRUSTED_AGE:
            return f"{follower} heard nothing for {heard.source_age:.1f} s"
        return ""

    async def _do_without(self, reason: str) -> None:
        """Follow the platform, or where others are to do that, ask any peer."""
        if self.may_poll:
            self._stand_in(reason)
        else:
            await self._ask_any_peer()

    async def _ask_any_peer(self) -> None:
        address = self._random_peer()
        if address is not None:
            await self._exchange_quietly(address)

    def _stand_in(self, reason: str) -> None:
        if not self._on_poll_duty():
            logger.info("spread: following the platform itself: {}", reason)
        self.standing_in_until = anyio.current_time() + STAND_IN_SECONDS

    def _on_poll_duty(self) -> bool:
        if anyio.current_time() < self.standing_in_until:
            return True
        if anyio.current_time() < self.unlisted_until:
            return self.options.name in self.poller_selection.names()
        return self.may_poll and super()._on_poll_duty()

    def _note_down(self, feed: Feed, error: PlatformError) -> None:
        if self.health.note_failure(anyio.current_time()):
            logger.warning("spread: platform lost at {}: {}", feed.name, error)
        self.platform_up = False

    def _note_up(self) -> None:
        if self.health.note_success(anyio.current_time()):
            logger.info("spread: platform answers again")
        self.platform_up = True
