"""Tasks that read the agents' reports on their groups."""

import random
from functools import partial

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.core.task_supervisor import TaskSupervisor
from briarthread_common.direct.group_id import GroupId
from briarthread_common.http.channel import Channel
from briarthread_common.http.report_stream import read_report_stream
from briarthread_common.messages.group_report import GROUP_PATH, GroupReport
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_entry.direct.groups.group_membership import GroupMembership
from briarthread_entry.direct.groups.group_reports import GroupReports

REFRESH_INTERVAL_SECONDS = 1.0
"""Interval at which the list of agents is checked for new groups."""
RETRY_PAUSE_SECONDS = 0.4
"""Mean pause before another agent is asked after a stream of reports has ended."""

GROUP_TASK = "group-report"
"""Name of the tasks that read the reports on one group."""


class GroupWatcher:
    """
    Keep one stream of reports open for each group that has agents.

    Every agent of a group knows what the group's planner sent, so one is enough. An
    agent in the entry's own data centre is preferred.
    """

    def __init__(
        self,
        data_centre: str,
        directory: Directory,
        membership: GroupMembership,
        group_reports: GroupReports,
        channel: Channel,
        rng: random.Random,
        supervisor: TaskSupervisor,
    ) -> None:
        self.data_centre = data_centre
        self.directory = directory
        self.membership = membership
        self.group_reports = group_reports
        self.channel = channel
        self.rng = rng
        self.supervisor = supervisor
        self.watched_groups: set[GroupId] = set()

    async def run(self) -> None:
        """Watch the groups of all listed agents until cancelled."""
        self.watched_groups.clear()
        async with anyio.create_task_group() as tasks:
            while True:
                self._refresh(tasks)
                await anyio.sleep(REFRESH_INTERVAL_SECONDS)

    def _refresh(self, tasks: TaskGroup) -> None:
        for group in sorted(self.membership.known_groups() - self.watched_groups):
            self.watched_groups.add(group)
            self.supervisor.start(tasks, GROUP_TASK, partial(self._watch, group))

    async def _watch(self, group: GroupId) -> None:
        while group in self.membership.known_groups():
            agent = self._choose_agent(group)
            if agent is not None:
                try:
                    await self._read_reports(group, agent)
                except ChannelError as error:
                    logger.debug("group: reports of {} ended: {}", agent.name, error)
            await anyio.sleep(RETRY_PAUSE_SECONDS * self.rng.uniform(0.5, 1.5))
        logger.info("group: {} has no listed agents", group)
        self.watched_groups.discard(group)

    def _choose_agent(self, group: GroupId) -> Instance | None:
        rows = [
            row
            for row in self.directory.of_role(InstanceRole.TARGET).values()
            if row.service == group.service and group.name in ("", row.group)
        ]
        local_rows = [row for row in rows if row.data_centre == self.data_centre]
        return self.rng.choice(local_rows or rows or [None])

    async def _read_reports(self, group: GroupId, agent: Instance) -> None:
        """Store the reports of an agent as long as its rank is in the group."""
        reports = read_report_stream(
            self.channel, agent.address, GROUP_PATH, GroupReport
        )
        async for report in reports:
            if group.name and report.group not in ("", group.name):
                logger.info("group: {} has moved to {}", agent.name, report.group)
                return
            self.group_reports.put(group, report, anyio.current_time())
