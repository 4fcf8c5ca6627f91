"""The tasks that follow what other entries have running."""

import random

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.http.channel import Channel
from briarthread_common.http.report_stream import follow_reports
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.messages.running_report import RUNNING_PATH, RunningReport
from briarthread_common.spread.directory import Directory
from briarthread_entry.direct.running_board import RunningBoard

REFRESH_SECONDS = 1.0
"""How often the list of entries is looked at for new ones."""
RETRY_SECONDS = 1.0
"""Mean pause before a lost entry is called again."""


class RunningWatcher:
    """Hold a stream of reports from every other entry."""

    def __init__(
        self,
        name: str,
        directory: Directory,
        board: RunningBoard,
        channel: Channel,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.directory = directory
        self.board = board
        self.channel = channel
        self.rng = rng
        self.followed: dict[str, tuple[Instance, anyio.CancelScope]] = {}

    async def run(self) -> None:
        """Follow the listed entries until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._refresh(tasks)
                await anyio.sleep(REFRESH_SECONDS)

    def _refresh(self, tasks: TaskGroup) -> None:
        listed = {
            name: row
            for name, row in self.directory.all().items()
            if row.role is InstanceRole.ENTRY and name != self.name
        }
        for name, (row, scope) in list(self.followed.items()):
            if listed.get(name) != row:
                scope.cancel()
                del self.followed[name]
                self.board.drop(name)
        for name, row in listed.items():
            if name not in self.followed:
                scope = anyio.CancelScope()
                self.followed[name] = (row, scope)
                tasks.start_soon(self._keep_following, row, scope)

    async def _keep_following(self, row: Instance, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                try:
                    await self._follow(row)
                except ChannelError as error:
                    logger.debug("running: {} lost: {}", row.name, error)
                await anyio.sleep(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))

    async def _follow(self, row: Instance) -> None:
        reports = follow_reports(self.channel, row.address, RUNNING_PATH, RunningReport)
        async for report in reports:
            self.board.put(row.name, report, anyio.current_time())
