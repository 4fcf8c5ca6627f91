"""The tasks that follow what agents say of their groups."""

import random

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.direct.group_id import GroupId
from briarthread_common.http.channel import Channel
from briarthread_common.http.report_stream import read_report_stream
from briarthread_common.messages.group_report import GROUP_PATH, GroupReport
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_entry.direct.group_membership import GroupMembership
from briarthread_entry.direct.group_reports import GroupReports

REFRESH_SECONDS = 1.0
"""How often the list of agents is looked at for new groups."""
RETRY_SECONDS = 0.4
"""Mean pause before another agent is asked in the place of a lost one."""


class GroupWatcher:
    """
    Hold one stream of reports on each group that has agents.

    Any agent of it knows what its group's planner told it, so one is enough; one of
    the own data centre is taken where there is any.
    """

    def __init__(
        self,
        data_centre: str,
        directory: Directory,
        membership: GroupMembership,
        group_reports: GroupReports,
        channel: Channel,
        rng: random.Random,
    ) -> None:
        self.data_centre = data_centre
        self.directory = directory
        self.membership = membership
        self.group_reports = group_reports
        self.channel = channel
        self.rng = rng
        self.watched: set[GroupId] = set()

    async def run(self) -> None:
        """Follow the groups of all listed agents until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._refresh(tasks)
                await anyio.sleep(REFRESH_SECONDS)

    def _refresh(self, tasks: TaskGroup) -> None:
        for group in sorted(self.membership.known_groups() - self.watched):
            self.watched.add(group)
            tasks.start_soon(self._keep_following, group)

    async def _keep_following(self, group: GroupId) -> None:
        while group in self.membership.known_groups():
            agent = self._choose(group)
            if agent is not None:
                try:
                    await self._follow(group, agent)
                except ChannelError as error:
                    logger.debug("group: {} lost: {}", agent.name, error)
            await anyio.sleep(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))
        logger.info("group: {} has no agents any more", group)
        self.watched.discard(group)

    def _choose(self, group: GroupId) -> Instance | None:
        rows = [
            row
            for row in self.directory.of_role(InstanceRole.TARGET).values()
            if row.service == group.service and group.name in ("", row.group)
        ]
        near = [row for row in rows if row.data_centre == self.data_centre]
        return self.rng.choice(near or rows or [None])

    async def _follow(self, group: GroupId, agent: Instance) -> None:
        """Take over an agent's reports as long as its rank is in the group."""
        reports = read_report_stream(
            self.channel, agent.address, GROUP_PATH, GroupReport
        )
        async for report in reports:
            if group.name and report.group not in ("", group.name):
                logger.info("group: {} is in {} now", agent.name, report.group)
                return
            self.group_reports.put(group, report, anyio.current_time())
