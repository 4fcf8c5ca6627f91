"""The tasks that follow what other entries have running."""

import random

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.http.channel import Channel
from briarthread_common.http.report_stream import follow_reports
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.messages.running_report import (
    BLOCK_PATH,
    RUNNING_PATH,
    RunningReport,
)
from briarthread_common.spread.directory import Directory
from briarthread_entry.direct.report_blocks import block_of, blocks_of
from briarthread_entry.direct.running_board import RunningBoard

REFRESH_SECONDS = 1.0
"""How often the list of entries is looked at for new ones."""
RETRY_SECONDS = 1.0
"""Mean pause before a lost entry is called again, or another of its block."""

Followed = tuple[str, ...]
"""The entries of which one is followed: one of the own block, or another block
as a whole."""


class RunningWatcher:
    """Hold a stream of reports from each entry of the own block and each block."""

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
        self.followed: dict[Followed, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Follow the listed entries until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._refresh(tasks)
                await anyio.sleep(REFRESH_SECONDS)

    def block(self) -> list[str]:
        """Return the other entries of this entry's block."""
        own = block_of(self.name, blocks_of(self._entries()))
        return [name for name in own if name != self.name]

    def _entries(self) -> dict[str, Instance]:
        rows = self.directory.all()
        return {n: row for n, row in rows.items() if row.role is InstanceRole.ENTRY}

    def _wanted(self) -> dict[Followed, str]:
        """Return whom to follow, and by which path."""
        blocks = blocks_of(self._entries())
        own = block_of(self.name, blocks)
        wanted = {(name,): RUNNING_PATH for name in own if name != self.name}
        return wanted | {block: BLOCK_PATH for block in blocks if block != own}

    def _refresh(self, tasks: TaskGroup) -> None:
        wanted = self._wanted()
        for followed in list(self.followed):
            if followed not in wanted:
                self.followed.pop(followed).cancel()
                self.board.drop(_label(followed))
        for followed, path in wanted.items():
            if followed not in self.followed:
                scope = self.followed[followed] = anyio.CancelScope()
                tasks.start_soon(self._keep_following, followed, path, scope)

    async def _keep_following(
        self, followed: Followed, path: str, scope: anyio.CancelScope
    ) -> None:
        with scope:
            while True:
                row = self._entries().get(self.rng.choice(followed))
                if row is not None:
                    await self._follow_quietly(_label(followed), row, path)
                await anyio.sleep(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))

    async def _follow_quietly(self, label: str, row: Instance, path: str) -> None:
        reports = follow_reports(self.channel, row.address, path, RunningReport)
        try:
            async for report in reports:
                self.board.put(label, report, anyio.current_time())
        except ChannelError as error:
            logger.debug("running: {} lost: {}", row.name, error)


def _label(followed: Followed) -> str:
    """Return the name under which the board keeps what was heard."""
    return followed[0] if len(followed) == 1 else f"block of {followed[0]}"
