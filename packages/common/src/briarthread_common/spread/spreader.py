"""The task that keeps a process's feeds up to date."""

import random
from dataclasses import dataclass

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
from briarthread_common.platform.feed_store import FeedStore, head_version
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.spread.directory import Directory
from briarthread_common.spread.tree import told_by
from briarthread_common.utils.hashing import rendezvous_order

EXCHANGE_PATH = "/peer/v1/exchange"
EXCHANGE_TIMEOUT = 1.5
POLLERS = 2
"""How many entries of a data centre poll the platform."""
START_PEERS = 8
"""How many peers a starting process asks for the highest versions."""


@dataclass(frozen=True, slots=True)
class SpreadOptions:
    """Hold the settings of the spread; times are in seconds."""

    name: str
    data_centre: str
    seeds: tuple[str, ...]
    exchange_interval: float
    poll_interval: float


class Spreader:
    """
    Keep the feeds of one process at the highest versions to be had.

    Two entries of each data centre poll the platform. Whoever installs a
    higher version tells those below it in its data centre's tree, which every
    process computes alike; a periodic exchange with a random
    peer mends what the tree missed, and one now and then with another data
    centre carries versions past a platform that only some can reach.
    """

    def __init__(
        self,
        options: SpreadOptions,
        feeds: FeedSet,
        directory: Directory,
        platform: PlatformClient,
        channel: Channel,
        rng: random.Random,
    ) -> None:
        self.options = options
        self.feeds = feeds
        self.directory = directory
        self.platform = platform
        self.channel = channel
        self.rng = rng
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
        self._install_all(heard.patches)
        await call.reply_json(self._message_for(heard.versions))

    async def poll_platform(self) -> None:
        """Read what is new from the platform; raise PlatformError if down."""
        changes = await self.platform.instances_since(self.feeds.instances.number)
        if changes is not None:
            self._install(changes)
        stores = {
            FeedStore(self.platform, feed.name): feed
            for feed in (self.feeds.text, self.feeds.shares)
        }
        heads = await self.platform.read([store.head_key() for store in stores])
        for store, feed in stores.items():
            newest = head_version(heads.get(store.head_key()))
            patch = await store.read_between(feed.number, newest)
            if patch is not None:
                self._install(patch)

    async def exchange_with(self, address: str) -> None:
        """Exchange with one peer; raise ChannelError when it is silent."""
        await self._send_and_mend(address, Exchange(self.feeds.versions()))

    def peers(self) -> list[Instance]:
        """Return the instances of this data centre in the order of the tree."""
        rows = [
            row
            for row in self.directory.all().values()
            if row.data_centre == self.options.data_centre
        ]
        by_name = {row.name: row for row in rows}
        return [by_name[name] for name in rendezvous_order("tree", by_name)]

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
            await feed.wait_beyond(told)
            patch = feed.since(told)
            told = feed.number
            if patch is not None:
                await self._tell(patch)

    async def _tell(self, patch: FeedPatch) -> None:
        message = Exchange(self.feeds.versions(), [patch])
        async with anyio.create_task_group() as tasks:
            for address in self._children():
                tasks.start_soon(self._tell_one, address, message)

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

    async def _send_and_mend(self, address: str, message: Exchange) -> None:
        theirs = await self._send(address, message)
        self._install_all(theirs.patches)
        missing = self._message_for(theirs.versions)
        if missing.patches:
            await self._send(address, missing)

    async def _send(self, address: str, message: Exchange) -> Exchange:
        return await call_json(
            self.channel,
            address,
            "POST",
            EXCHANGE_PATH,
            message,
            Exchange,
            EXCHANGE_TIMEOUT,
        )

    def _message_for(self, versions: dict[str, int]) -> Exchange:
        patches = [feed.since(versions.get(feed.name, 0)) for feed in self.feeds.all()]
        return Exchange(self.feeds.versions(), [p for p in patches if p is not None])

    def _install_all(self, patches: list[FeedPatch]) -> None:
        for patch in patches:
            self._install(patch)

    def _install(self, patch: FeedPatch) -> None:
        feed = self.feeds.by_name(patch.feed)
        if feed is None:
            return
        try:
            if feed.install(patch) and feed.name == FeedName.TEXT:
                logger.info("spread: text {} is in force", feed.number)
        except FeedGapError as error:
            logger.debug("spread: {}", error)

    def _on_poll_duty(self) -> bool:
        """
        Tell whether this process polls the platform now.

        The first entries of the data centre do. Without a list, or where no
        entry is listed, everyone does.
        """
        names = [row.name for row in self.directory.entries(self.options.data_centre)]
        if not names:
            return True
        order = rendezvous_order("poll", names)
        duty = order[:POLLERS]
        return self.options.name in duty or self.options.name not in self._known()

    def _known(self) -> set[str]:
        return set(self.directory.all())

    def _children(self) -> list[str]:
        """Return the addresses of the processes that this one tells."""
        return [row.address for row in told_by(self.options.name, self.peers())]

    def _random_peer(self) -> str | None:
        rows = self.directory.all().values()
        others = [row.address for row in rows if row.name != self.options.name]
        return self.rng.choice(others or list(self.options.seeds) or [None])

    def _start_peers(self) -> list[str]:
        local = [row.address for row in self.peers()]
        self.rng.shuffle(local)
        return local[:START_PEERS]
