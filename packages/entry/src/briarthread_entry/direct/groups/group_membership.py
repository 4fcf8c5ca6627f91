"""Membership of ranks in the lock-step groups of a service."""

from collections.abc import Iterable

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.instance import InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.host_of import host_of
from briarthread_entry.direct.targets.target_state import DirectTargetState


class GroupMembership:
    """
    Look up the group of a rank, as listed by the agent on its instance.

    Ranks without a listed group count as members of the service's only group. If the
    service has several groups or none, they belong to a group without a name.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.feed_number = -1
        self.group_by_host: dict[tuple[str, str], GroupId] = {}
        self.named_groups: dict[str, set[GroupId]] = {}

    def group_of(self, target: DirectTarget) -> GroupId:
        """Return the group that a rank is in."""
        self._refresh()
        found = self.group_by_host.get((target.service, host_of(target.address)))
        return found or self._default(target.service)

    def by_group(
        self, states: Iterable[DirectTargetState]
    ) -> dict[GroupId, list[DirectTargetState]]:
        """Return the states of ranks by their group."""
        found: dict[GroupId, list[DirectTargetState]] = {}
        for state in states:
            found.setdefault(self.group_of(state.target), []).append(state)
        return found

    def known_groups(self) -> set[GroupId]:
        """Return the groups that agents are listed in."""
        self._refresh()
        return {
            group
            for service, named_groups in self.named_groups.items()
            for group in named_groups or {GroupId(service)}
        }

    def _default(self, service: str) -> GroupId:
        named_groups = self.named_groups.get(service, set())
        return next(iter(named_groups)) if len(named_groups) == 1 else GroupId(service)

    def _refresh(self) -> None:
        if self.feed_number == self.directory.feed.number:
            return
        self.feed_number = self.directory.feed.number
        self.group_by_host, self.named_groups = {}, {}
        for row in self.directory.of_role(InstanceRole.TARGET).values():
            named_groups = self.named_groups.setdefault(row.service, set())
            if row.group:
                group = GroupId(row.service, row.group)
                named_groups.add(group)
                self.group_by_host[row.service, host_of(row.address)] = group
