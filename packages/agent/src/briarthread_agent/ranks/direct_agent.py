"""The agent that runs next to a direct target."""

import random
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_agent.ranks.map_change_recovery import MapChangeRecovery
from briarthread_agent.ranks.planner_role import PlannerRole
from briarthread_agent.ranks.rank_controller import RankController
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
from briarthread_common.core.task_supervisor import TaskSupervisor
from briarthread_common.direct.load_adapter import load_adapter
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.direct.route_view import RouteView
from briarthread_common.feeds.feed_set import DIRECT_FEEDS, FeedSet
from briarthread_common.http.app import App, Route
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_options import ChannelOptions
from briarthread_common.http.clients.clients import Clients
from briarthread_common.http.http_channel import HttpChannel
from briarthread_common.http.server import HttpServer, open_listener
from briarthread_common.http.status_pages import StatusPages
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_common.spread.ensure_registered import ensure_registered
from briarthread_common.spread.feed_replicator import EXCHANGE_PATH
from briarthread_common.spread.long_poll_replicator import LongPollReplicator
from briarthread_common.utils.clock import Clock

CHANNEL_OPTIONS = ChannelOptions(
    connect_timeout=0.4, user_timeout_seconds=0.8, max_idle=4
)
"""Timeouts are short: the engine, peers and the store answer in milliseconds."""
GROUP_CHECK_SECONDS = 1.0
"""How often the group of the agent's rank is compared with the registered one."""


class DirectAgent:
    """Create the components of one agent and its ASGI application."""

    def __init__(
        self,
        settings: DirectAgentSettings,
        adapter: PlatformAdapter,
        channel: Channel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.supervisor = TaskSupervisor(self.metrics, rng)
        self.events = EventLog(clock, "agent")
        self.feeds = FeedSet(DIRECT_FEEDS)
        self.directory = Directory(self.feeds.instances)
        self.store = adapter.open_store(channel, settings.store)
        self.replicator = LongPollReplicator(
            settings.spread,
            self.feeds,
            self.directory,
            self.store,
            channel,
            rng,
            may_poll=False,
        )
        self.routes = RouteView(self.feeds.routes, adapter)
        self.controller = RankController(adapter.open_rank(channel, settings.target))
        self.peers = RankPeers(
            settings.service, self.directory, self.feeds.targets, adapter, channel
        )
        self.recovery = MapChangeRecovery(self.controller, self.peers, self.events)
        self.planner = RankPlanner(
            settings.service,
            self.routes,
            self.controller,
            self.peers,
            PlannerRole(settings.name, self.store, self.controller, self.peers),
            self.events,
        )
        pages = StatusPages(self.metrics, self.events, self._ready, self._status)
        self.app = App(
            [
                Route("POST", EXCHANGE_PATH, self.replicator.handle_exchange),
                *self.controller.routes(),
                *self.peers.caller.routes(),
                *pages.routes(),
            ]
        )

    def start(self, tasks: TaskGroup) -> None:
        """Start the background tasks in a task group."""
        self.supervisor.start(tasks, "replication", self.replicator.run, essential=True)
        tasks.start_soon(self._run_when_started)

    def apply(self, settings: DirectAgentSettings) -> None:
        """Apply reloaded settings; addresses do not change until a restart."""
        set_up_logs(settings.log_level, settings.log_json)

    async def drain(self) -> None:
        """Stop immediately, since no caller waits for a direct target's agent."""
        logger.info("agent: stopping")
        self.controller.reporter.close()

    async def _run_when_started(self) -> None:
        await self.replicator.started.wait()
        async with anyio.create_task_group() as tasks:
            supervisor = self.supervisor
            supervisor.start(tasks, "registration", self._maintain_registration)
            supervisor.start(tasks, "counts", self.controller.poll_counts)
            supervisor.start(tasks, "recovery", self.recovery.run)
            supervisor.start(tasks, "map-planner", self.planner.run)

    async def _maintain_registration(self) -> None:
        """Register the agent, and again whenever its rank's group changes."""
        await self.controller.own_state()
        registered: Instance | None = None
        while True:
            row = self._instance_row()
            if row != registered:
                await ensure_registered(row, self.directory, self.store)
                registered = row
            await anyio.sleep(GROUP_CHECK_SECONDS)

    def _instance_row(self) -> Instance:
        """Return the agent's row, with the last known group if none is reported."""
        previous = self.directory.all().get(self.settings.name)
        last_group = "" if previous is None else previous.group
        return Instance(
            self.settings.name,
            self.settings.data_centre,
            self.settings.listen,
            InstanceRole.TARGET,
            self.settings.service,
            group=self.controller.group or last_group,
        )

    def _ready(self) -> str:
        if not self.replicator.started.is_set():
            return "starting"
        return self.supervisor.fault()

    def _status(self) -> dict[str, object]:
        return {
            "name": self.settings.name,
            "role": "agent beside a target",
            "versions": self.feeds.versions(),
            "platform": "up" if self.replicator.platform_up else "down",
            "planner": self.controller.fence,
            "plans": self.planner.role.is_held(),
            "failing_tasks": self.supervisor.failing_tasks(),
        }


async def serve_direct(settings: DirectAgentSettings, path: Path) -> None:
    """Run the agent until a signal stops it; SIGHUP reloads its settings file."""
    adapter = load_adapter(settings.adapter)
    listener = open_listener(settings.listen)
    agent = DirectAgent(
        settings,
        adapter,
        HttpChannel(CHANNEL_OPTIONS),
        Clock.from_system(),
        random.SystemRandom(),
    )
    clients = Clients.of_only_address(
        "peers",
        settings.max_files,
        settings.memory_mb,
        agent.metrics.count_client_refusal,
    )
    agent.metrics.observe_clients(clients)
    server = HttpServer(
        agent.app,
        [listener],
        settings.drain_timeout,
        clients={listener.getsockname()[1]: clients},
    )
    async with anyio.create_task_group() as tasks:
        agent.start(tasks)
        tasks.start_soon(
            reload_on_signal,
            path,
            load_direct_agent_settings,
            agent.apply,
            agent.supervisor,
        )
        logger.info("agent: {} listens on {}", settings.name, settings.listen)
        await server.run(agent.drain)
        tasks.cancel_scope.cancel()
    logger.info("agent: stopped")
