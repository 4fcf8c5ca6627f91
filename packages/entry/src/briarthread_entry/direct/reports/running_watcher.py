"""Tasks that read the running reports of other entries."""

import random
from functools import partial

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.core.task_supervisor import TaskSupervisor
from briarthread_common.http.channel import Channel
from briarthread_common.http.report_stream import (
    REPORT_TIMEOUT_SECONDS,
    read_report_stream,
)
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.messages.running_report import RunningReport
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.recent_failures import RecentFailures
from briarthread_entry.direct.reports.peer_reports import PeerReports
from briarthread_entry.direct.reports.report_blocks import build_blocks
from briarthread_entry.direct.reports.subscriptions import (
    BlockSubscription,
    EntrySubscription,
    OthersSubscription,
    Subscription,
    report_path,
    report_source,
    wanted_subscriptions,
)

REFRESH_INTERVAL_SECONDS = 1.0
"""Interval at which the list of entries is checked for changes."""
RETRY_PAUSE_SECONDS = 1.0
"""Mean pause before an entry whose stream has ended is called again."""
FAILOVER_PAUSE_SECONDS = 0.1
"""Mean pause before the next entry of a block is called instead of its collector: until
then no report on any other entry is received."""
UNRESPONSIVE_SECONDS = 5.0
"""Time during which an entry that did not respond is skipped for the next one."""
SUM_LIFETIME_SECONDS = 4.0
"""Lifetime of a sum over many entries.

A lost collector is detected and replaced within this time. If its sum expired earlier,
a loaded group would look empty meanwhile.
"""

SUBSCRIPTION_TASK = "running-report"
"""Name of the tasks that read the reports of one entry or block."""


class RunningWatcher:
    """Keep a stream of reports open for each subscription."""

    def __init__(
        self,
        name: str,
        directory: Directory,
        peer_reports: PeerReports,
        channel: Channel,
        rng: random.Random,
        supervisor: TaskSupervisor,
    ) -> None:
        self.name = name
        self.directory = directory
        self.peer_reports = peer_reports
        self.channel = channel
        self.rng = rng
        self.supervisor = supervisor
        self.subscriptions: dict[Subscription, anyio.CancelScope] = {}
        self.subscribers = 0
        self.unresponsive = RecentFailures(UNRESPONSIVE_SECONDS)
        self.collector_requested = anyio.Event()

    async def run(self) -> None:
        """Subscribe to the listed entries until cancelled."""
        self.subscriptions.clear()
        async with anyio.create_task_group() as tasks:
            while True:
                self._refresh(tasks)
                with anyio.move_on_after(REFRESH_INTERVAL_SECONDS):
                    await self.collector_requested.wait()
                self.collector_requested = anyio.Event()

    def change_subscribers(self, change: int) -> None:
        """Change the number of entries that use this entry as their collector."""
        self.subscribers += change
        if change > 0 and self.subscribers == 1:
            self.collector_requested.set()

    def is_collector(self) -> bool:
        """Return whether this entry sums up the reports of the others itself."""
        return not any(
            isinstance(subscription, OthersSubscription)
            for subscription in self.subscriptions
        )

    def direct_peers(self) -> list[str]:
        """Return the entries whose own reports are subscribed to."""
        return [
            subscription.name
            for subscription in self.subscriptions
            if isinstance(subscription, EntrySubscription)
        ]

    def _entries(self) -> dict[str, Instance]:
        return self.directory.of_role(InstanceRole.ENTRY)

    def _refresh(self, tasks: TaskGroup) -> None:
        blocks = build_blocks(self._entries())
        wanted = wanted_subscriptions(
            self.name, blocks, is_requested=self.subscribers > 0
        )
        for subscription in list(self.subscriptions):
            if subscription not in wanted:
                self.subscriptions.pop(subscription).cancel()
                self.peer_reports.drop(report_source(subscription))
        for subscription in sorted(wanted, key=report_source):
            if subscription not in self.subscriptions:
                scope = self.subscriptions[subscription] = anyio.CancelScope()
                tasks.start_soon(self._keep_subscribed, subscription, scope)

    async def _keep_subscribed(
        self, subscription: Subscription, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await self.supervisor.keep_running(
                SUBSCRIPTION_TASK, partial(self._follow, subscription)
            )

    async def _follow(self, subscription: Subscription) -> None:
        while True:
            row = self._choose_entry(subscription)
            if row is not None:
                await self._read_reports(subscription, row)
            pause = (
                FAILOVER_PAUSE_SECONDS
                if self._responsive(subscription)
                else RETRY_PAUSE_SECONDS
            )
            await anyio.sleep(pause * self.rng.uniform(0.5, 1.5))

    def _choose_entry(self, subscription: Subscription) -> Instance | None:
        """Return the entry to call, of a block the first that did not fail recently."""
        entries = self._entries()
        names = self._responsive(subscription) or self._candidates(subscription)
        return entries.get(names[0]) if names else None

    def _candidates(self, subscription: Subscription) -> list[str]:
        """Return the entries that serve a subscription, in the order of preference."""
        match subscription:
            case EntrySubscription(name):
                return [name]
            case BlockSubscription(label) | OthersSubscription(label):
                block = build_blocks(self._entries()).get(label, ())
                return [name for name in block if name != self.name]

    def _responsive(self, subscription: Subscription) -> list[str]:
        return self.unresponsive.without_recent(self._candidates(subscription))

    async def _read_reports(self, subscription: Subscription, row: Instance) -> None:
        path = report_path(subscription, self.name)
        is_single_entry = isinstance(subscription, EntrySubscription)
        lifetime = REPORT_TIMEOUT_SECONDS if is_single_entry else SUM_LIFETIME_SECONDS
        reports = read_report_stream(self.channel, row.address, path, RunningReport)
        try:
            async for report in reports:
                now = anyio.current_time()
                self.peer_reports.put(
                    report_source(subscription), report, now, lifetime
                )
        except ChannelError as error:
            self.unresponsive.add(row.name)
            logger.info(
                "running: reports of {} from {} ended: {}",
                subscription,
                row.name,
                error,
            )
