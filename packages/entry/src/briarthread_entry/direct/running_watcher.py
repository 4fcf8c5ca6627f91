"""The tasks that follow what other entries have running."""

import random

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.http.channel import Channel
from briarthread_common.http.report_stream import (
    REPORT_TIMEOUT_SECONDS,
    read_report_stream,
)
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.messages.running_report import RunningReport
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.recent_failures import RecentFailures
from briarthread_entry.direct.peer_reports import PeerReports
from briarthread_entry.direct.report_blocks import build_blocks
from briarthread_entry.direct.subscriptions import (
    BlockSubscription,
    EntrySubscription,
    OthersSubscription,
    Subscription,
    report_path,
    report_source,
    wanted_subscriptions,
)

REFRESH_SECONDS = 1.0
"""How often the list of entries is looked at for new ones."""
RETRY_SECONDS = 1.0
"""Mean pause before a lost entry is called again."""
NEXT_SECONDS = 0.1
"""Mean pause before the next entry of a block is called in the place of its
collector: until then nothing new is heard of any other entry."""
PASSED_OVER_SECONDS = 5.0
"""How long one that did not answer is passed over for the next of its block."""
KEPT_SECONDS = 4.0
"""How long the sum of many entries counts without a newer one: a lost collector
is noticed and replaced in less, and without its word a loaded group would look
empty meanwhile."""


class RunningWatcher:
    """Hold a stream of reports from each entry or block that is followed."""

    def __init__(
        self,
        name: str,
        directory: Directory,
        peer_reports: PeerReports,
        channel: Channel,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.directory = directory
        self.peer_reports = peer_reports
        self.channel = channel
        self.rng = rng
        self.subscriptions: dict[Subscription, anyio.CancelScope] = {}
        self.subscribers = 0
        self.unresponsive = RecentFailures(PASSED_OVER_SECONDS)
        self.collector_requested = anyio.Event()

    async def run(self) -> None:
        """Follow the listed entries until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._refresh(tasks)
                with anyio.move_on_after(REFRESH_SECONDS):
                    await self.collector_requested.wait()
                self.collector_requested = anyio.Event()

    def change_subscribers(self, change: int) -> None:
        """Record that one more, or one less, takes this entry for a collector."""
        self.subscribers += change
        if change > 0 and self.subscribers == 1:
            self.collector_requested.set()

    def is_collector(self) -> bool:
        """Tell whether this entry adds up what the others have running."""
        return not any(
            isinstance(one, OthersSubscription) for one in self.subscriptions
        )

    def direct_peers(self) -> list[str]:
        """Return the entries that are followed for what they have running."""
        return [
            one.name for one in self.subscriptions if isinstance(one, EntrySubscription)
        ]

    def _entries(self) -> dict[str, Instance]:
        return self.directory.of_role(InstanceRole.ENTRY)

    def _refresh(self, tasks: TaskGroup) -> None:
        blocks = build_blocks(self._entries())
        wanted = wanted_subscriptions(self.name, blocks, requested=self.subscribers > 0)
        for followed in list(self.subscriptions):
            if followed not in wanted:
                self.subscriptions.pop(followed).cancel()
                self.peer_reports.drop(report_source(followed))
        for followed in wanted:
            if followed not in self.subscriptions:
                scope = self.subscriptions[followed] = anyio.CancelScope()
                tasks.start_soon(self._keep_following, followed, scope)

    async def _keep_following(
        self, followed: Subscription, scope: anyio.CancelScope
    ) -> None:
        with scope:
            while True:
                row = self._choose(followed)
                if row is not None:
                    await self._follow_quietly(followed, row)
                pause = NEXT_SECONDS if self._sound(followed) else RETRY_SECONDS
                await anyio.sleep(pause * self.rng.uniform(0.5, 1.5))

    def _choose(self, followed: Subscription) -> Instance | None:
        """Return the entry to call; of a block the first that did not fail lately."""
        entries = self._entries()
        names = self._sound(followed) or self._candidates(followed)
        return entries.get(names[0]) if names else None

    def _candidates(self, followed: Subscription) -> list[str]:
        """Return the entries that can tell what is wanted, in the order of asking."""
        match followed:
            case EntrySubscription(name):
                return [name]
            case BlockSubscription(label) | OthersSubscription(label):
                block = build_blocks(self._entries()).get(label, ())
                return [name for name in block if name != self.name]

    def _sound(self, followed: Subscription) -> list[str]:
        return self.unresponsive.without_recent(self._candidates(followed))

    async def _follow_quietly(self, followed: Subscription, row: Instance) -> None:
        path = report_path(followed, self.name)
        alone = isinstance(followed, EntrySubscription)
        kept = REPORT_TIMEOUT_SECONDS if alone else KEPT_SECONDS
        reports = read_report_stream(self.channel, row.address, path, RunningReport)
        try:
            async for report in reports:
                now = anyio.current_time()
                self.peer_reports.put(report_source(followed), report, now, kept)
        except ChannelError as error:
            self.unresponsive.add(row.name)
            logger.info("running: {} at {} lost: {}", followed, row.name, error)
