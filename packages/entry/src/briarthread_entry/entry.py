"""Composition of an entry that sends to agents."""

import random

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.event_log import EventLog
from briarthread_common.core.metrics import Metrics
from briarthread_common.core.task_supervisor import TaskSupervisor
from briarthread_common.feeds.feed_set import FeedSet
from briarthread_common.http.app import App, Route
from briarthread_common.http.channel import Channel
from briarthread_common.http.status_pages import StatusPages
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.shares.share_view import ShareView
from briarthread_common.spread.directory import Directory
from briarthread_common.spread.feed_replicator import EXCHANGE_PATH, FeedReplicator
from briarthread_common.spread.table_source import TableSource
from briarthread_common.text.text_view import TextView
from briarthread_common.utils.clock import Clock
from briarthread_entry.limits.account_limiter import AccountLimiter
from briarthread_entry.maps.group_planner import GroupPlanner
from briarthread_entry.routing.load_watcher import LoadWatcher
from briarthread_entry.routing.router import Router
from briarthread_entry.routing.target_table import TargetTable
from briarthread_entry.serving.attempt_sender import AttemptSender
from briarthread_entry.serving.read_request import SERVICES_PREFIX
from briarthread_entry.serving.request_handler import RequestHandler
from briarthread_entry.serving.request_runner import RequestRunner
from briarthread_entry.settings import EntrySettings


class Entry:
    """Create and connect the components of an entry and its ASGI application."""

    def __init__(
        self,
        settings: EntrySettings,
        channel: Channel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.supervisor = TaskSupervisor(self.metrics, rng)
        self.events = EventLog(clock, "entry")
        self.draining = False
        self.feeds = FeedSet()
        self.text = TextView(self.feeds.text)
        self.directory = Directory(self.feeds.instances)
        self.platform = PlatformClient(
            channel, settings.platform_addresses, settings.platform_timeout
        )
        self.replicator = FeedReplicator(
            settings.spread,
            self.feeds,
            self.directory,
            TableSource(self.platform),
            channel,
            rng,
        )
        self.table = TargetTable(settings.name, settings.data_centre, self.directory)
        self.watcher = LoadWatcher(
            self.table,
            self.text,
            channel,
            self.replicator,
            clock,
            self.events,
            rng,
            self.supervisor,
        )
        self.planner = GroupPlanner(
            settings.name,
            settings.data_centre,
            self.text,
            self.directory,
            self.platform,
            channel,
            clock,
            self.events,
            rng,
        )
        shares = ShareView(self.feeds.shares)
        self.router = Router(self.table, shares, channel, clock, rng)
        self.runner = RequestRunner(
            self.router,
            AttemptSender(channel, clock),
            clock,
            self.metrics,
            self.events,
            rng,
        )
        self.handler = RequestHandler(
            settings.data_centre,
            self.replicator.started,
            self.text,
            self.directory,
            AccountLimiter(clock),
            self.router,
            self.runner,
            clock,
            self.metrics,
            self.events,
            settings.max_in_flight,
        )
        self.app = App(self._routes())

    def start(self, tasks: TaskGroup) -> None:
        """Start the background tasks in a task group."""
        supervisor = self.supervisor
        supervisor.start(tasks, "replication", self.replicator.run, essential=True)
        supervisor.start(tasks, "load-watcher", self.watcher.run, essential=True)
        supervisor.start(tasks, "map-planner", self.planner.run)

    async def drain(self) -> None:
        """Announce the shutdown, and serve requests until it has been noticed."""
        logger.info("entry: stopping")
        self.draining = True
        await anyio.sleep(self.settings.drain_notice)

    def ready(self) -> str:
        """Return the reason why the entry is not ready, empty if it is ready."""
        if self.draining:
            return "draining"
        if not self.replicator.started.is_set():
            return "starting"
        if self.text.current().number == 0:
            return "no services text yet"
        return self.supervisor.fault()

    def _routes(self) -> list[Route]:
        pages = StatusPages(self.metrics, self.events, self.ready, self._status)
        return [
            Route("*", SERVICES_PREFIX, self.handler.handle),
            Route("POST", EXCHANGE_PATH, self.replicator.handle_exchange),
            *pages.routes(),
        ]

    def _status(self) -> dict[str, object]:
        now = self.handler.clock.now()
        targets = {
            name: "usable" if state.usable(now) else "not usable"
            for name, state in self.table.states.items()
        }
        return {
            "name": self.settings.name,
            "role": "entry",
            "versions": self.feeds.versions(),
            "platform": "up" if self.replicator.platform_up else "down",
            "in_flight": self.handler.in_flight,
            "targets": targets,
            "failing_tasks": self.supervisor.failing_tasks(),
            "ready": self.ready() or "yes",
        }
