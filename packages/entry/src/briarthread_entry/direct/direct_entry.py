"""Composition of an entry that sends to targets directly."""

import random
from collections.abc import Callable, Collection

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from msgspec.structs import replace

from briarthread_common.core.event_log import EventLog
from briarthread_common.core.logs import set_up_logs
from briarthread_common.core.metrics import Metrics
from briarthread_common.core.task_supervisor import Run, TaskSupervisor
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.direct.route_view import RouteView
from briarthread_common.feeds.feed_set import DIRECT_FEEDS, FeedSet
from briarthread_common.http.app import App, Route
from briarthread_common.http.channel import Channel
from briarthread_common.http.status_pages import StatusPages
from briarthread_common.messages.blocklist_entry import BlocklistEntry
from briarthread_common.messages.instance import InstanceRole
from briarthread_common.messages.running_report import RunningReport
from briarthread_common.spread.directory import Directory
from briarthread_common.spread.feed_replicator import EXCHANGE_PATH
from briarthread_common.spread.long_poll_replicator import LongPollReplicator
from briarthread_common.utils.clock import Clock
from briarthread_common.utils.hashing import rendezvous_order
from briarthread_entry.direct.admission.group_admission import GroupAdmission
from briarthread_entry.direct.admission.urgency_tracker import UrgencyTracker
from briarthread_entry.direct.attempts.attempt_sender import AttemptSender
from briarthread_entry.direct.crashes.blocklist_store import BlocklistStore
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker
from briarthread_entry.direct.entry_registration import EntryRegistration
from briarthread_entry.direct.groups.assigned_slots import AssignedSlots
from briarthread_entry.direct.groups.group_capacity import GroupCapacityTracker
from briarthread_entry.direct.groups.group_membership import GroupMembership
from briarthread_entry.direct.groups.group_reports import GroupReports
from briarthread_entry.direct.groups.group_watcher import GroupWatcher
from briarthread_entry.direct.groups.slow_ranks import SlowRanks
from briarthread_entry.direct.limits.cold_targets import ColdTargets
from briarthread_entry.direct.limits.issuer_members import IssuerMembers
from briarthread_entry.direct.limits.limit_tokens import LimitTokens
from briarthread_entry.direct.limits.target_backoffs import TargetBackoffs
from briarthread_entry.direct.limits.target_limits import TargetLimits
from briarthread_entry.direct.memory.memory_budget import MemoryBudget
from briarthread_entry.direct.reports.peer_reports import PeerReports
from briarthread_entry.direct.reports.running_reporter import RunningReporter
from briarthread_entry.direct.reports.running_watcher import RunningWatcher
from briarthread_entry.direct.request_handler import RequestHandler
from briarthread_entry.direct.request_runner import RequestRunner
from briarthread_entry.direct.requests.read_request import RequestReader
from briarthread_entry.direct.retries.shared_retry_budget import SharedRetryBudget
from briarthread_entry.direct.routing.plain_targets import PlainTargets
from briarthread_entry.direct.routing.target_chooser import TargetChooser
from briarthread_entry.direct.settings import DirectSettings
from briarthread_entry.direct.targets.evacuations import Evacuations
from briarthread_entry.direct.targets.leaving_targets import LeavingTargets
from briarthread_entry.direct.targets.target_changes import TargetChanges
from briarthread_entry.direct.targets.target_checker import TargetChecker
from briarthread_entry.direct.targets.target_registry import TargetRegistry
from briarthread_entry.direct.targets.target_runs import TargetRuns

TARGET_ROW = "target-row"
"""Name under which errors with single rows of the list of targets are reported."""


class DirectEntry:
    """
    Create and connect the components of an entry that sends to targets directly.

    ``app`` serves callers, ``peer_app`` other entries and operators. There are separate
    channels for targets, peers and the platform, since each of them needs other
    timeouts. ``is_full`` returns whether it rejects new connections of callers.
    """

    def __init__(
        self,
        settings: DirectSettings,
        adapter: PlatformAdapter,
        target_channel: Channel,
        peer_channel: Channel,
        store_channel: Channel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.supervisor = TaskSupervisor(self.metrics, rng)
        self.events = EventLog(clock, "entry")
        self.memory = MemoryBudget(settings.memory_mb, self.metrics, self.events)
        self.draining = False
        self.is_full: Callable[[], bool] = _is_never_full
        self.feeds = FeedSet(DIRECT_FEEDS)
        self.directory = Directory(self.feeds.instances)
        self.store = adapter.open_store(store_channel, settings.store)
        self.replicator = LongPollReplicator(
            settings.spread,
            self.feeds,
            self.directory,
            self.store,
            peer_channel,
            rng,
        )
        self.routes = RouteView(self.feeds.routes, adapter)
        self.limits = TargetLimits()
        self.backoffs = TargetBackoffs(self.metrics, rng)
        self.crashes = CrashTracker(self._note_crash_decision)
        self.leaving_targets = LeavingTargets()
        self.evacuations = Evacuations(self.feeds.routes, adapter, self.metrics)
        self.runs = TargetRuns(self.metrics)
        self.registry = TargetRegistry(
            self.feeds.targets,
            adapter,
            self.replicator.healthy_since,
            self.leaving_targets,
            self.evacuations,
            self.runs,
        )
        self.registry.on_row_error = self._report_row_error
        self.cold_targets = ColdTargets(
            self.registry.find, self._find_service, self.metrics
        )
        self.checker = TargetChecker(
            self.registry.holders,
            self._find_service,
            target_channel,
            adapter.headers,
            self.metrics,
            self.events,
        )
        self.registry.on_applied = self.checker.request_checks
        self.peer_reports = PeerReports(
            self.limits,
            self.crashes,
            self.leaving_targets,
            self.cold_targets,
            self.runs,
        )
        self.group_reports = GroupReports()
        self.membership = GroupMembership(self.directory)
        self.slow_ranks = SlowRanks(self.registry, self.membership, self.group_reports)
        self.capacity = GroupCapacityTracker(
            self.registry,
            self.peer_reports,
            self.membership,
            self.slow_ranks,
            self.limits,
            self.backoffs,
            self.cold_targets,
        )
        self.urgency = UrgencyTracker(self.peer_reports, self.metrics, rng)
        self.admission = GroupAdmission(self.capacity, self.urgency, rng)
        self.running_watcher = RunningWatcher(
            settings.name,
            self.directory,
            self.peer_reports,
            peer_channel,
            rng,
            self.supervisor,
        )
        self.running_reporter = RunningReporter(
            self._report, self.peer_reports, self.running_watcher
        )
        self.group_watcher = GroupWatcher(
            settings.data_centre,
            self.directory,
            self.membership,
            self.group_reports,
            peer_channel,
            rng,
            self.supervisor,
        )
        self.budget = SharedRetryBudget(
            settings.allowance, self._entry_count, anyio.current_time()
        )
        self.issuer_members = IssuerMembers(
            settings.name,
            self.directory,
            self.replicator.contact_age,
            settings.listen,
        )
        self._connect_blocklist()
        self.tokens = LimitTokens(
            settings.name,
            self.directory,
            self.limits,
            self.registry.find_outside_evacuations,
            peer_channel,
            self.metrics,
            self.cold_targets,
            self.issuer_members,
            self.runs,
        )
        self.runner = RequestRunner(
            TargetChooser(
                PlainTargets(settings.data_centre, self.metrics, self.events, rng),
                self.registry,
                self.peer_reports,
                self.capacity,
                self.slow_ranks,
                AssignedSlots(settings.name, self.directory),
                self.tokens,
                self.checker,
                self.backoffs,
                self.crashes,
                self.events,
                rng,
            ),
            AttemptSender(
                target_channel,
                adapter.headers,
                self.limits,
                self.backoffs,
                self.leaving_targets,
                self.cold_targets,
                self.checker,
            ),
            self.crashes,
            self.budget,
            self.admission,
            self.capacity,
            self.slow_ranks,
            self.metrics,
            self.events,
            rng,
        )
        self.target_changes = TargetChanges(
            self.registry,
            self.limits,
            self.tokens,
            self.backoffs,
            self.leaving_targets,
            self.cold_targets,
            self.crashes,
            self.peer_reports,
            self.runner.attempt_recorder,
            self.metrics,
        )
        self.target_changes.follow()
        self.registration = EntryRegistration(
            settings,
            self.replicator,
            self.directory,
            self.store,
            self.issuer_members,
            self._services,
        )
        self.handler = RequestHandler(
            self.routes,
            RequestReader(adapter.headers, rng),
            self.runner,
            self.memory,
            self.metrics,
            self.events,
            lambda: self.draining,
        )
        self.pages = StatusPages(self.metrics, self.events, self.ready, self._status)
        self.app = App([Route("*", "/", self.handler.handle)])
        self.peer_app = App(
            [
                Route("POST", EXCHANGE_PATH, self.replicator.handle_exchange),
                *self.running_reporter.routes(),
                *self.tokens.routes(),
                *self.pages.routes(),
            ]
        )

    def _connect_blocklist(self) -> None:
        """Store what is blocked, and let one entry try blocked segments again."""
        self.blocklist = BlocklistStore(
            self.store, self._has_model_service, self._load_blocklist_entry
        )
        segments = self.crashes.segments
        segments.may_try = self._is_first_for
        segments.on_blocked = lambda found: self.blocklist.add(segments=found)
        segments.on_cleared = lambda found: self.blocklist.remove(segments=found)
        self.crashes.on_blocked = lambda digest: self.blocklist.add(digest=digest)
        self.crashes.on_cleared = lambda digest: self.blocklist.remove(digest=digest)

    def _has_model_service(self) -> bool:
        return any(service.engine is not None for service in self._services())

    def _services(self) -> Collection[DirectService]:
        routes = self.routes.current()
        return () if routes is None else routes.services.values()

    def _load_blocklist_entry(self, entry: BlocklistEntry) -> None:
        now = anyio.current_time()
        if entry.segments:
            self.crashes.segments.load(entry.segments, now)
        if entry.digest:
            self.crashes.load(entry.digest, now)

    def _is_first_for(self, segments: tuple[str, ...]) -> bool:
        """Return whether this entry comes first in the order for some segments."""
        entries = self.issuer_members.entries(anyio.current_time())
        order = rendezvous_order(" ".join(segments), entries)
        return bool(order) and order[0] == self.settings.name

    def start(self, tasks: TaskGroup) -> None:
        """Start the background tasks in a task group."""
        essential: dict[str, Run] = {
            "replication": self.replicator.run,
            "configuration": self.routes.follow,
            "targets": self.registry.follow,
            "evacuations": self.evacuations.follow,
        }
        others: dict[str, Run] = {
            "target-checks": self.checker.run,
            "running-reports": self.running_watcher.run,
            "group-reports": self.group_watcher.run,
            "slow-ranks": self.slow_ranks.run,
            "issuers": self.issuer_members.follow,
            "silent-attempts": self.runner.silent_attempts.run,
            "registration": self.registration.run,
            "blocklist": self.blocklist.run,
        }
        for name, run in essential.items():
            self.supervisor.start(tasks, name, run, essential=True)
        for name, run in others.items():
            self.supervisor.start(tasks, name, run)

    def apply(self, settings: DirectSettings) -> None:
        """Apply reloaded settings; addresses and memory change only on a restart."""
        set_up_logs(settings.log_level, settings.log_json)
        self.budget.allowance = settings.allowance

    async def drain(self) -> None:
        """Announce the shutdown, and serve requests until it has been noticed."""
        logger.info("entry: stopping")
        self.draining = True
        await anyio.sleep(self.settings.drain_notice)
        self.running_reporter.close()

    def ready(self) -> str:
        """Return the reason why the entry is not ready, empty if it is ready."""
        if self.draining:
            return "draining"
        if self.routes.current() is None:
            return "no configuration yet"
        if not self.feeds.targets.items:
            return "no targets known yet"
        if self.is_full():
            return "all connections of callers are open"
        return self.supervisor.fault()

    def _report_row_error(self, name: str, error: Exception) -> None:
        self.supervisor.report(TARGET_ROW, error, f"row {name[:40]!r} is ignored")

    def _find_service(self, name: str) -> DirectService | None:
        routes = self.routes.current()
        return None if routes is None else routes.services.get(name)

    def _report(self) -> RunningReport:
        """Return the running report for the other entries."""
        report = self.admission.report()
        now = anyio.current_time()
        limit_reports, crashes = self.limits.report(now), self.crashes.report(now)
        leaving = self.leaving_targets.own_names()
        backoffs = self.backoffs.seconds_left(now)
        cold = self.cold_targets.report(now)
        if not (limit_reports or crashes or leaving or backoffs or cold):
            return report
        return replace(
            report,
            limits=limit_reports,
            crashes=crashes,
            leaving=leaving,
            backoffs=backoffs,
            cold=cold,
            starts=self.runs.starts_of([*limit_reports, *leaving, *backoffs]),
        )

    def _note_crash_decision(self, decision: str, digest: str, reason: str) -> None:
        self.metrics.crash_decisions.labels(decision).inc()
        self.events.add(decision, digest, reason)

    def _entry_count(self) -> int:
        """Return the number of entries with this one, 0 before the list is known."""
        listed = self.directory.of_role(InstanceRole.ENTRY)
        return len(listed.keys() | {self.settings.name}) if listed else 0

    def _status(self) -> dict[str, object]:
        now = anyio.current_time()
        self.registry.refresh(now)
        return {
            "name": self.settings.name,
            "role": "direct entry",
            "versions": self.feeds.versions(),
            "platform": "up" if self.replicator.platform_up else "down",
            "targets": {
                name: {
                    "service": state.target.service,
                    "leaving": self.registry.is_leaving(state),
                    "standing": self.registry.standing(state),
                    "running": state.running,
                    "condition": state.condition,
                    "ejected_seconds": max(state.ejected_until - now, 0.0),
                }
                for name, state in self.registry.states.items()
            },
            "evacuated": self.evacuations.names(),
            "limits": {
                name: known.per_second
                for name, known in self.limits.known.items()
                if known.per_second is not None
            },
            "backoff_seconds": self.backoffs.seconds_left(now),
            "cold_seconds": self.cold_targets.seconds_left(now),
            "shut_out": sorted(self.crashes.blocked),
            "blocked_segments": sorted(
                " ".join(found) for found in self.crashes.segments.blocked
            ),
            "groups": {
                str(group): {"serving": not health.broken}
                for group, health in self.capacity.healths.items()
            },
            "failing_tasks": self.supervisor.failing_tasks(),
            "ready": self.ready() or "yes",
        }


def _is_never_full() -> bool:
    return False
