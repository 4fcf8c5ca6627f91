"""The tasks that follow what other entries have running."""

import random
from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class EntryFollowed:
    """An entry of the own block."""

    name: str


@dataclass(frozen=True, slots=True)
class BlockFollowed:
    """Another block, by any one of its entries."""

    index: int


Followed = EntryFollowed | BlockFollowed


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
        blocks = blocks_of(self._entries())
        own = blocks.get(block_of(self.name, blocks), ())
        return [name for name in own if name != self.name]

    def _entries(self) -> dict[str, Instance]:
        rows = self.directory.all()
        return {n: row for n, row in rows.items() if row.role is InstanceRole.ENTRY}

    def _wanted(self) -> set[Followed]:
        blocks = blocks_of(self._entries())
        own = block_of(self.name, blocks)
        wanted: set[Followed] = {EntryFollowed(name) for name in self.block()}
        return wanted | {BlockFollowed(index) for index in blocks if index != own}

    def _refresh(self, tasks: TaskGroup) -> None:
        wanted = self._wanted()
        for followed in list(self.followed):
            if followed not in wanted:
                self.followed.pop(followed).cancel()
                self.board.drop(_label(followed))
        for followed in wanted:
            if followed not in self.followed:
                scope = self.followed[followed] = anyio.CancelScope()
                tasks.start_soon(self._keep_following, followed, scope)

    async def _keep_following(
        self, followed: Followed, scope: anyio.CancelScope
    ) -> None:
        with scope:
            while True:
                row = self._choose(followed)
                if row is not None:
                    await self._follow_quietly(followed, row)
                await anyio.sleep(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))

    def _choose(self, followed: Followed) -> Instance | None:
        entries = self._entries()
        match followed:
            case EntryFollowed(name):
                return entries.get(name)
            case BlockFollowed(index):
                block = blocks_of(entries).get(index, ())
                return entries[self.rng.choice(block)] if block else None

    async def _follow_quietly(self, followed: Followed, row: Instance) -> None:
        path = RUNNING_PATH if isinstance(followed, EntryFollowed) else BLOCK_PATH
        reports = follow_reports(self.channel, row.address, path, RunningReport)
        try:
            async for report in reports:
                self.board.put(_label(followed), report, anyio.current_time())
        except ChannelError as error:
            logger.debug("running: {} lost: {}", row.name, error)


def _label(followed: Followed) -> str:
    """Return the name under which the board keeps what was heard."""
    match followed:
        case EntryFollowed(name):
            return name
        case BlockFollowed(index):
            return f"block {index}"
