"""The agent beside a direct target, put together."""

import random
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_agent.ranks.map_finisher import MapFinisher
from briarthread_agent.ranks.planner_seat import PlannerSeat
from briarthread_agent.ranks.rank_keeper import RankKeeper
from briarthread_agent.ranks.rank_peers import RankPeers
from briarthread_agent.ranks.rank_planner import RankPlanner
from briarthread_agent.ranks.settings import (
    DirectAgentSettings,
    load_direct_agent_settings,
)
from briarthread_common.conf.reload import reload_on_signal
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.logs import set_up_logs
from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.load_adapter import load_adapter
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.direct.route_view import RouteView
from briarthread_common.feeds.feed_set import DIRECT_FEEDS, FeedSet
from briarthread_common.http.app import App, Route
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_options import ChannelOptions
from briarthread_common.http.http_channel import HttpChannel
from briarthread_common.http.server import HttpServer, open_listener
from briarthread_common.http.status_pages import StatusPages
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_common.spread.ensure_registered import ensure_registered
from briarthread_common.spread.feed_replicator import EXCHANGE_PATH
from briarthread_common.spread.long_poll_replicator import LongPollReplicator
from briarthread_common.utils.clock import Clock

NEAR = ChannelOptions(connect_timeout=0.4, silence_seconds=0.8, max_idle=4)
"""Engines on the same machine, peers and the store answer in milliseconds."""
GROUP_SECONDS = 1.0
"""How often the group of the own rank is compared with the one that is listed."""


class DirectAgent:
    """Hold the parts of one agent and its ASGI application."""

    def __init__(
        self,
        settings: DirectAgentSettings,
        adapter: PlatformAdapter,
        channel: Channel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.events = EventLog(clock, "agent")
        self.feeds = FeedSet(DIRECT_FEEDS)
        self.directory = Directory(self.feeds.instances)
        self.store = adapter.open_store(channel, settings.store)
        self.spreader = LongPollReplicator(
            settings.spread,
            self.feeds,
            self.directory,
            self.store,
            channel,
            rng,
            may_poll=False,
        )
        self.routes = RouteView(self.feeds.routes, adapter)
        self.keeper = RankKeeper(adapter.open_rank(channel, settings.target))
        self.peers = RankPeers(
            settings.service, self.directory, self.feeds.targets, adapter, channel
        )
        self.finisher = MapFinisher(self.keeper, self.peers, self.events)
        self.planner = RankPlanner(
            settings.service,
            self.routes,
            self.keeper,
            self.peers,
            PlannerSeat(settings.name, self.store, self.keeper, self.peers),
            self.events,
        )
        pages = StatusPages(Metrics(), self.events, self._ready, self._status)
        self.app = App(
            [
                Route("POST", EXCHANGE_PATH, self.spreader.handle_exchange),
                *self.keeper.routes(),
                *self.peers.calls.routes(),
                *pages.routes(),
            ]
        )

    def start(self, tasks: TaskGroup) -> None:
        """Start the background tasks in a task group."""
        tasks.start_soon(self.spreader.run)
        tasks.start_soon(self._run_when_started)

    def apply(self, settings: DirectAgentSettings) -> None:
        """Take over settings read anew; addresses stay until a restart."""
        set_up_logs(settings.log_level, settings.log_json)

    async def drain(self) -> None:
        """Stop at once: nobody waits for an agent beside its target."""
        logger.info("agent: stopping")
        self.keeper.reporter.close()

    async def _run_when_started(self) -> None:
        await self.spreader.started.wait()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_listed)
            tasks.start_soon(self.keeper.follow_counts)
            tasks.start_soon(self.finisher.run)
            tasks.start_soon(self.planner.run)

    async def _keep_listed(self) -> None:
        """Enter the agent in the list, anew when its rank is in another group."""
        await self.keeper.own_state()
        listed: Instance | None = None
        while True:
            row = self._row()
            if row != listed:
                await ensure_registered(row, self.directory, self.store)
                listed = row
            await anyio.sleep(GROUP_SECONDS)

    def _row(self) -> Instance:
        """Return the agent's row, with the group last known while none is said."""
        before = self.directory.all().get(self.settings.name)
        known = "" if before is None else before.group
        return Instance(
            self.settings.name,
            self.settings.data_centre,
            self.settings.listen,
            InstanceRole.TARGET,
            self.settings.service,
            group=self.keeper.group or known,
        )

    def _ready(self) -> str:
        return "" if self.spreader.started.is_set() else "starting"

    def _status(self) -> dict[str, object]:
        return {
            "name": self.settings.name,
            "role": "agent beside a target",
            "versions": self.feeds.versions(),
            "platform": "up" if self.spreader.platform_up else "down",
            "planner": self.keeper.fence,
            "plans": self.planner.seat.held(),
        }


async def serve_direct(settings: DirectAgentSettings, path: Path) -> None:
    """Run the agent until a signal stops it; SIGHUP reads its file anew."""
    adapter = load_adapter(settings.adapter)
    listener = open_listener(settings.listen)
    agent = DirectAgent(
        settings,
        adapter,
        HttpChannel(NEAR),
        Clock.from_system(),
        random.SystemRandom(),
    )
    server = HttpServer(agent.app, [listener], settings.drain_timeout)
    async with anyio.create_task_group() as tasks:
        agent.start(tasks)
        tasks.start_soon(
            reload_on_signal, path, load_direct_agent_settings, agent.apply
        )
        logger.info("agent: {} listens on {}", settings.name, settings.listen)
        await server.run(agent.drain)
        tasks.cancel_scope.cancel()
    logger.info("agent: stopped")
