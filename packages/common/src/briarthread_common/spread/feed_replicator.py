"""The task that keeps a process's feeds up to date."""

import random

import anyio
from loguru import logger

from briarthread_common.core.exceptions import (
    ChannelError,
    FeedGapError,
    PlatformError,
)
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_common.feeds.feed_set import FeedName, FeedSet
from briarthread_common.http.call import Call
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import MAX_MESSAGE_BYTES, call_json
from briarthread_common.messages.exchange import Exchange
from briarthread_common.messages.instance import Instance
from briarthread_common.spread.directory import Directory
from briarthread_common.spread.feed_source import FeedSource
from briarthread_common.spread.poller_selection import PollerSelection
from briarthread_common.spread.replication_options import ReplicationOptions
from briarthread_common.spread.tree import push_targets, root_of
from briarthread_common.utils.hashing import rendezvous_order

EXCHANGE_PATH = "/peer/v1/exchange"
EXCHANGE_TIMEOUT = 1.5
POLLERS = 2
"""How many entries of a data centre poll the platform."""
LOGGED_FEEDS = frozenset({FeedName.TEXT, FeedName.ROUTES})
"""Feeds whose every version is worth a line in the log."""
START_PEERS = 8
"""How many peers a starting process asks for the highest versions."""


class FeedReplicator:
    """
    Keep the feeds of one process at the highest versions to be had.

    Two entries of each data centre poll the platform. Whoever installs a
    higher version tells those below it in its data centre's tree, which every
    process computes alike, and asks its root, which mostly has it, whether it
    does. A periodic exchange with a random peer mends what the tree missed,
    and one now and then with another data centre carries versions past a
    platform that only some can reach.
    """

    def __init__(
        self,
        options: ReplicationOptions,
        feeds: FeedSet,
        directory: Directory,
        source: FeedSource,
        channel: Channel,
        rng: random.Random,
    ) -> None:
        self.options = options
        self.feeds = feeds
        self.directory = directory
        self.source = source
        self.channel = channel
        self.rng = rng
        self.poller_selection = PollerSelection(
            options.name, options.data_centre, directory, poller_count=POLLERS
        )
        self.platform_up = False
        self.started = anyio.Event()

    async def run(self) -> None:
        """Start up, then poll, tell and exchange until cancelled."""
        await self.catch_up()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_loop)
            tasks.start_soon(self._exchange_loop)
            for feed in self.feeds.all():
                tasks.start_soon(self._tell_loop, feed)

    async def catch_up(self) -> None:
        """Take the highest versions among the platform and some peers."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_quietly)
            for address in self.options.seeds[:START_PEERS]:
                tasks.start_soon(self._exchange_quietly, address)
        if not self.platform_up:
            async with anyio.create_task_group() as tasks:
                for address in self._start_peers():
                    tasks.start_soon(self._exchange_quietly, address)
        self.started.set()

    async def handle_exchange(self, call: Call) -> None:
        """Answer a peer: install its patches, give it what it lacks."""
        heard = await call.read_json(Exchange, MAX_MESSAGE_BYTES)
        self._hear(heard)
        await call.reply_json(self._message_for(heard.versions))

    async def poll_platform(self) -> None:
        """Read what is new from the platform; raise PlatformError if down."""
        self.install_all(await self.source.poll(self.feeds))

    async def exchange_with(self, address: str) -> Exchange:
        """Exchange with one peer; raise ChannelError when it is silent."""
        return await self._send_and_mend(address, self._message([]))

    def source_age(self) -> float:
        """Return the seconds since the platform was heard from, if it matters."""
        return 0.0

    def peers(self) -> list[Instance]:
        """Return the instances of this data centre in the order of the tree."""
        rows = [
            row
            for row in self.directory.all().values()
            if row.data_centre == self.options.data_centre
        ]
        by_name = {row.name: row for row in rows}
        return [by_name[name] for name in rendezvous_order("tree", by_name)]

    def source_healthy_seconds(self) -> float:
        """Return for how long the platform has answered, if it matters."""
        return 0.0

    async def _poll_loop(self) -> None:
        while True:
            await anyio.sleep(self.options.poll_interval * self.rng.uniform(0.8, 1.2))
            if self._on_poll_duty():
                await self._poll_quietly()

    async def _exchange_loop(self) -> None:
        while True:
            pause = self.options.exchange_interval * self.rng.uniform(0.5, 1.5)
            await anyio.sleep(pause)
            address = self._random_peer()
            if address is not None:
                await self._exchange_quietly(address)

    async def _tell_loop(self, feed: Feed) -> None:
        told = feed.number
        while True:
            await feed.wait_for_newer(told)
            patch = feed.since(told)
            told = feed.number
            if patch is not None:
                await self._tell(patch)

    async def _tell(self, patch: FeedPatch) -> None:
        message = self._message([patch])
        tree = self.peers()
        async with anyio.create_task_group() as tasks:
            for row in push_targets(self.options.name, tree):
                tasks.start_soon(self._tell_one, row.address, message)
            root = root_of(self.options.name, tree)
            if root is not None:
                tasks.start_soon(self._exchange_quietly, root.address)

    async def _tell_one(self, address: str, message: Exchange) -> None:
        try:
            await self._send_and_mend(address, message)
        except ChannelError as error:
            logger.debug("spread: {}", error)

    async def _poll_quietly(self) -> None:
        try:
            await self.poll_platform()
            self.platform_up = True
        except PlatformError as error:
            if self.platform_up:
                logger.warning("spread: platform is unreachable: {}", error)
            self.platform_up = False

    async def _exchange_quietly(self, address: str) -> None:
        try:
            await self.exchange_with(address)
        except ChannelError as error:
            logger.debug("spread: {}", error)

    async def _send_and_mend(self, address: str, message: Exchange) -> Exchange:
        theirs = await self._send(address, message)
        self._hear(theirs)
        missing = self._message_for(theirs.versions)
        if missing.patches:
            await self._send(address, missing)
        return theirs

    async def _send(self, address: str, message: Exchange) -> Exchange:
        return await call_json(
            self.channel,
            address,
            "POST",
            EXCHANGE_PATH,
            message,
            Exchange,
            EXCHANGE_TIMEOUT,
            packed=True,
        )

    def _message_for(self, versions: dict[str, int]) -> Exchange:
        patches = [feed.since(versions.get(feed.name, 0)) for feed in self.feeds.all()]
        return self._message([patch for patch in patches if patch is not None])

    def _message(self, patches: list[FeedPatch]) -> Exchange:
        return Exchange(
            self.feeds.versions(),
            patches,
            self.source_age(),
            self.source_healthy_seconds(),
        )

    def _hear(self, heard: Exchange) -> None:
        self.install_all(heard.patches)

    def install_all(self, patches: list[FeedPatch]) -> None:
        """Install patches, whichever of them lead to a higher version."""
        for patch in patches:
            self._install(patch)

    def _install(self, patch: FeedPatch) -> None:
        feed = self.feeds.by_name(patch.feed)
        if feed is None:
            return
        try:
            if feed.install(patch) and feed.name in LOGGED_FEEDS:
                logger.info("spread: {} {} is in force", feed.name, feed.number)
        except FeedGapError as error:
            logger.debug("spread: {}", error)

    def _on_poll_duty(self) -> bool:
        """Tell whether this process polls the platform now."""
        return self.poller_selection.selected()

    def _random_peer(self) -> str | None:
        rows = self.directory.all().values()
        others = [row.address for row in rows if row.name != self.options.name]
        return self.rng.choice(others or list(self.options.seeds) or [None])

    def _start_peers(self) -> list[str]:
        local = [row.address for row in self.peers()]
        self.rng.shuffle(local)
        return local[:START_PEERS]
