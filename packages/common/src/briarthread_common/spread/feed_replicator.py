"""Replication of the feeds of a process."""

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
EXCHANGE_TIMEOUT_SECONDS = 1.5
POLLERS = 2
"""Number of entries per data centre that poll the platform."""
LOGGED_FEEDS = frozenset({FeedName.TEXT, FeedName.ROUTES})
"""Feeds of which every installed version is logged."""
MAX_START_PEERS = 8
"""Maximum number of peers that a starting process asks for the newest versions."""


class FeedReplicator:
    """
    Keep the feeds of one process at the newest available versions.

    Some entries of each data centre poll the platform. A process that installs a
    newer version pushes it to its children in the tree of its data centre, which
    every process computes alike. It also exchanges versions with the root of the
    tree, which usually has the new one already. A periodic exchange with a random
    peer (anti-entropy) repairs what the tree missed. The peer may be in another data
    centre, so versions also reach processes that cannot reach the platform.
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
        """Catch up, then poll, push and exchange until cancelled."""
        await self.catch_up()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_loop)
            tasks.start_soon(self._exchange_loop)
            for feed in self.feeds.all():
                tasks.start_soon(self._push_loop, feed)

    async def catch_up(self) -> None:
        """Install the newest versions that the platform and some peers have."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._try_poll)
            for address in self.options.seeds[:MAX_START_PEERS]:
                tasks.start_soon(self._try_exchange, address)
        if not self.platform_up:
            async with anyio.create_task_group() as tasks:
                for address in self._start_peers():
                    tasks.start_soon(self._try_exchange, address)
        self.started.set()

    async def handle_exchange(self, call: Call) -> None:
        """Install a peer's patches and reply with those that it lacks."""
        received = await call.read_json(Exchange, MAX_MESSAGE_BYTES)
        self._receive(received)
        await call.reply_json(self._message_for(received.versions))

    async def poll_platform(self) -> None:
        """Install new versions from the platform; may raise PlatformError."""
        self.install_all(await self.source.poll(self.feeds))

    async def exchange_with(
        self, address: str, timeout: float = EXCHANGE_TIMEOUT_SECONDS
    ) -> Exchange:
        """
        Exchange versions and patches with a peer.

        Raise ChannelError if it fails or takes longer than ``timeout`` seconds.
        """
        return await self._exchange(address, self._message([]), timeout)

    def source_age(self) -> float:
        """Return the seconds since the platform's last answer; 0 if not tracked."""
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
        """Return the seconds for which the platform has been up; 0 if not tracked."""
        return 0.0

    async def _poll_loop(self) -> None:
        while True:
            await anyio.sleep(self.options.poll_interval * self.rng.uniform(0.8, 1.2))
            if self._is_poller():
                await self._try_poll()

    async def _exchange_loop(self) -> None:
        while True:
            pause = self.options.exchange_interval * self.rng.uniform(0.5, 1.5)
            await anyio.sleep(pause)
            address = self._random_peer()
            if address is not None:
                await self._try_exchange(address)

    async def _push_loop(self, feed: Feed) -> None:
        pushed = feed.number
        while True:
            await feed.wait_for_newer(pushed)
            patch = feed.since(pushed)
            pushed = feed.number
            if patch is not None:
                await self._push(patch)

    async def _push(self, patch: FeedPatch) -> None:
        message = self._message([patch])
        tree = self.peers()
        async with anyio.create_task_group() as tasks:
            for row in push_targets(self.options.name, tree):
                tasks.start_soon(self._try_push, row.address, message)
            root = root_of(self.options.name, tree)
            if root is not None:
                tasks.start_soon(self._try_exchange, root.address)

    async def _try_push(self, address: str, message: Exchange) -> None:
        try:
            await self._exchange(address, message)
        except ChannelError as error:
            logger.debug("spread: {}", error)

    async def _try_poll(self) -> None:
        try:
            await self.poll_platform()
            self.platform_up = True
        except PlatformError as error:
            if self.platform_up:
                logger.warning("spread: platform is unreachable: {}", error)
            self.platform_up = False

    async def _try_exchange(self, address: str) -> None:
        try:
            await self.exchange_with(address)
        except ChannelError as error:
            logger.debug("spread: {}", error)

    async def _exchange(
        self,
        address: str,
        message: Exchange,
        timeout: float = EXCHANGE_TIMEOUT_SECONDS,
    ) -> Exchange:
        """Send a message, install the reply's patches and send those it lacks."""
        reply = await self._send(address, message, timeout)
        self._receive(reply)
        missing = self._message_for(reply.versions)
        if missing.patches:
            await self._send(address, missing)
        return reply

    async def _send(
        self,
        address: str,
        message: Exchange,
        timeout: float = EXCHANGE_TIMEOUT_SECONDS,
    ) -> Exchange:
        return await call_json(
            self.channel,
            address,
            "POST",
            EXCHANGE_PATH,
            message,
            Exchange,
            timeout,
            compressed=True,
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

    def _receive(self, received: Exchange) -> None:
        self.install_all(received.patches)

    def install_all(self, patches: list[FeedPatch]) -> None:
        """Install those patches that lead to a newer version."""
        for patch in patches:
            self._install(patch)

    def _install(self, patch: FeedPatch) -> None:
        feed = self.feeds.by_name(patch.feed)
        if feed is None:
            return
        try:
            if feed.install(patch) and feed.name in LOGGED_FEEDS:
                logger.info("spread: {} version {} installed", feed.name, feed.number)
        except FeedGapError as error:
            logger.debug("spread: {}", error)

    def _is_poller(self) -> bool:
        """Tell whether this process polls the platform now."""
        return self.poller_selection.selected()

    def _random_peer(self) -> str | None:
        rows = self.directory.all().values()
        others = [row.address for row in rows if row.name != self.options.name]
        return self.rng.choice(others or list(self.options.seeds) or [None])

    def _start_peers(self) -> list[str]:
        local = [row.address for row in self.peers()]
        self.rng.shuffle(local)
        return local[:MAX_START_PEERS]
