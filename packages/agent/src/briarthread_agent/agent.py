"""The agent of a target."""

import random

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_agent.attempts.attempt_handler import AttemptHandler
from briarthread_agent.attempts.attempt_runner import AttemptRunner, wait_for_drain
from briarthread_agent.attempts.record_store import RecordStore
from briarthread_agent.attempts.target_client import TargetClient
from briarthread_agent.limits.fair_queue import FairQueue
from briarthread_agent.limits.target_backoff import TargetBackoff
from briarthread_agent.maps.engine_client import EngineClient
from briarthread_agent.maps.group_peers import GroupPeers
from briarthread_agent.maps.map_handlers import MapHandlers
from briarthread_agent.maps.map_participant import MapParticipant
from briarthread_agent.reports.load_reporter import LoadReporter
from briarthread_agent.settings import AgentSettings
from briarthread_agent.shares.exported_record import HandOver
from briarthread_agent.shares.freeze_detector import FreezeDetector
from briarthread_agent.shares.hand_over import import_records
from briarthread_agent.shares.share_guard import ShareGuard
from briarthread_agent.shares.share_manager import HAND_OVER_PATH, ShareManager
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import ChannelError
from briarthread_common.core.metrics import Metrics
from briarthread_common.core.task_supervisor import Run, TaskSupervisor
from briarthread_common.feeds.feed_set import FeedSet
from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.http.channel import Channel
from briarthread_common.http.channel_calls import MAX_MESSAGE_BYTES
from briarthread_common.http.status_pages import StatusPages
from briarthread_common.messages.hello import HELLO_PATH, Hello
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.shares.share_view import ShareView
from briarthread_common.spread.directory import Directory
from briarthread_common.spread.feed_replicator import EXCHANGE_PATH, FeedReplicator
from briarthread_common.spread.table_source import TableSource
from briarthread_common.text.text_view import TextView
from briarthread_common.utils.clock import Clock
from briarthread_common.utils.hashing import random_id

INITIAL_SLOTS = 8
"""Slots until the services text with the agent's service is known."""
INITIAL_QUEUE_LIMIT = 64
"""Queue limit until the services text with the agent's service is known."""
MS_PER_SECOND = 1000


class Agent:
    """Create the components of one agent and its ASGI application."""

    def __init__(
        self,
        settings: AgentSettings,
        channel: Channel,
        clock: Clock,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.tasks = tasks
        self.incarnation = random_id(rng)
        self.metrics = Metrics()
        self.supervisor = TaskSupervisor(self.metrics, rng)
        self.events = EventLog(clock, "agent")
        self.instance = Instance(
            settings.name,
            settings.data_centre,
            settings.listen,
            InstanceRole.TARGET,
            settings.service,
        )
        self.feeds = FeedSet()
        self.text = TextView(self.feeds.text)
        self.directory = Directory(self.feeds.instances)
        platform = PlatformClient(
            channel, settings.platform_addresses, settings.platform_timeout
        )
        self.replicator = FeedReplicator(
            settings.spread,
            self.feeds,
            self.directory,
            TableSource(platform),
            channel,
            rng,
        )
        self.freeze_detector = FreezeDetector(clock)
        self.share_guard = ShareGuard(
            clock,
            self.instance,
            self.incarnation,
            ShareView(self.feeds.shares),
            self.text,
            self.freeze_detector,
        )
        self.record_store = RecordStore(clock)
        self.share_manager = ShareManager(
            self.share_guard,
            self.record_store,
            self.feeds,
            self.directory,
            platform,
            self.replicator,
            channel,
            self.events,
            rng,
        )
        self.backoff = TargetBackoff(self.metrics)
        self.queue = FairQueue(clock, self.backoff, INITIAL_SLOTS, INITIAL_QUEUE_LIMIT)
        self.reporter = LoadReporter(self.incarnation, self.queue, self.backoff)
        target = TargetClient(
            channel, settings.target, self.backoff, self._on_target_leaving
        )
        runner = AttemptRunner(
            clock,
            self.record_store,
            self.queue,
            target,
            self.share_guard,
            tasks,
            self.supervisor,
        )
        self.handler = AttemptHandler(
            runner, self.reporter, self.text, settings.service, self.metrics
        )
        epoch = int(clock.now() * MS_PER_SECOND)
        self.map_participant = MapParticipant(
            settings.name,
            self.incarnation,
            EngineClient(channel, settings.target, epoch),
            self.text,
            GroupPeers(settings.name, self.directory, channel),
            self.events,
        )
        self.app = App(self._routes())

    def start(self) -> None:
        """Start the background tasks in the task group."""
        essential: dict[str, Run] = {
            "replication": self.replicator.run,
            "text-changes": self._apply_text_changes,
            "backoff": self.queue.follow_backoff,
        }
        others: dict[str, Run] = {
            "freeze-detector": self.freeze_detector.run,
            "shares": self.share_manager.run,
            "maps": self.map_participant.run,
        }
        for name, run in essential.items():
            self.supervisor.start(self.tasks, name, run, essential=True)
        for name, run in others.items():
            self.supervisor.start(self.tasks, name, run)

    async def drain(self) -> None:
        """
        Shut down gracefully: announce it, hand shares over, finish accepted attempts.

        Until the listener closes, new attempts are refused as not run.
        """
        logger.info("agent: stopping")
        self._refuse_new_attempts()
        await self._hand_over_shares()
        await anyio.sleep(self.settings.drain_notice)
        await wait_for_drain(self.queue, self.settings.drain_timeout)
        try:
            await self.share_manager.send_late_records()
        except ChannelError as error:
            logger.warning("agent: late records were not handed over: {}", error)
        self.reporter.close()

    def _on_target_leaving(self) -> None:
        """
        Refuse new attempts and hand the shares over, as the target is shutting down.

        This is final for the process: an agent is restarted together with its target.
        """
        if self.share_guard.draining:
            return
        logger.info("agent: the target is leaving, according to its response")
        self._refuse_new_attempts()
        self.tasks.start_soon(
            self.supervisor.run_once, "hand-over", self._hand_over_shares
        )

    def _refuse_new_attempts(self) -> None:
        self.reporter.announce_drain()
        self.share_guard.draining = True

    async def _hand_over_shares(self) -> None:
        with anyio.move_on_after(self.settings.drain_timeout):
            await self.share_manager.hand_over_all()

    def ready(self) -> str:
        """Return why the agent is not ready, or an empty string."""
        if self.share_guard.draining:
            return "draining"
        if self.settings.service not in self.text.current().services:
            return "no text with its service yet"
        return self.supervisor.fault()

    def _routes(self) -> list[Route]:
        pages = StatusPages(self.metrics, self.events, self.ready, self._status)
        return [
            Route("POST", "/agent/v1/attempts", self.handler.handle_attempt),
            Route("POST", "/agent/v1/revoke", self.handler.handle_revoke),
            Route("GET", "/agent/v1/load", self.reporter.handle_stream),
            Route("GET", HELLO_PATH, self._handle_hello),
            Route("POST", HAND_OVER_PATH, self._handle_hand_over),
            Route("POST", EXCHANGE_PATH, self.replicator.handle_exchange),
            *MapHandlers(self.map_participant).routes(),
            *pages.routes(),
        ]

    async def _handle_hello(self, call: Call) -> None:
        await call.reply_json(Hello(self.settings.name, self.incarnation))

    async def _handle_hand_over(self, call: Call) -> None:
        message = await call.read_json(HandOver, MAX_MESSAGE_BYTES)
        service = self.text.current().services[message.service]
        import_records(
            self.record_store, message.service, message.answers, service.answer_bytes
        )
        await call.reply_json(True)

    async def _apply_text_changes(self) -> None:
        known = 0
        while True:
            service = self.text.current().services.get(self.settings.service)
            if service is not None:
                self.queue.slots = service.slots
                self.queue.limit = service.queue
            await self.feeds.text.wait_for_newer(known)
            known = self.feeds.text.number

    def _status(self) -> dict[str, object]:
        return {
            "name": self.settings.name,
            "role": "agent",
            "incarnation": self.incarnation,
            "versions": self.feeds.versions(),
            "platform": "up" if self.replicator.platform_up else "down",
            "running": self.queue.running,
            "queued": len(self.queue.waiting),
            "backoff_seconds": self.backoff.seconds_left(),
            "shares": [row.share for row in self.share_guard.held_rows()],
            "failing_tasks": self.supervisor.failing_tasks(),
            "ready": self.ready() or "yes",
        }
