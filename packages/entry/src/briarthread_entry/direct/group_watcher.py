"""The tasks that follow what agents say of their groups."""

import random

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.http.channel import Channel
from briarthread_common.http.report_stream import follow_reports
from briarthread_common.messages.group_report import GROUP_PATH, GroupReport
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_entry.direct.group_board import GroupBoard

REFRESH_SECONDS = 1.0
"""How often the list of agents is looked at for services with a group."""
RETRY_SECONDS = 0.4
"""Mean pause before another agent is asked in the place of a lost one."""


class GroupWatcher:
    """
    Hold one stream of reports on each service that has agents.

    Any agent knows what its group's planner told it, so one is enough; one of
    the own data centre is taken where there is any.
    """

    def __init__(
        self,
        data_centre: str,
        directory: Directory,
        board: GroupBoard,
        channel: Channel,
        rng: random.Random,
    ) -> None:
        self.data_centre = data_centre
        self.directory = directory
        self.board = board
        self.channel = channel
        self.rng = rng
        self.followed: set[str] = set()

    async def run(self) -> None:
        """Follow the groups of all listed agents until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._refresh(tasks)
                await anyio.sleep(REFRESH_SECONDS)

    def _refresh(self, tasks: TaskGroup) -> None:
        listed = {row.service for row in self._agents()}
        for service in sorted(listed - self.followed):
            self.followed.add(service)
            tasks.start_soon(self._keep_following, service)

    def _agents(self) -> list[Instance]:
        return list(self.directory.of_role(InstanceRole.TARGET).values())

    async def _keep_following(self, service: str) -> None:
        while True:
            agent = self._choose(service)
            if agent is not None:
                try:
                    await self._follow(service, agent)
                except ChannelError as error:
                    logger.debug("group: {} lost: {}", agent.name, error)
            await anyio.sleep(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))

    def _choose(self, service: str) -> Instance | None:
        rows = [row for row in self._agents() if row.service == service]
        near = [row for row in rows if row.data_centre == self.data_centre]
        return self.rng.choice(near or rows or [None])

    async def _follow(self, service: str, agent: Instance) -> None:
        reports = follow_reports(self.channel, agent.address, GROUP_PATH, GroupReport)
        async for report in reports:
            self.board.put(service, report, anyio.current_time())
