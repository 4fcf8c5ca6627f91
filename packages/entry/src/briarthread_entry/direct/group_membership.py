"""Which lock-step group each rank of a service is in."""

from collections.abc import Iterable

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.instance import InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.host_of import host_of
from briarthread_entry.direct.target_state import DirectTargetState


class GroupMembership:
    """
    Tell the group of a rank, as the agent on its instance lists it.

    Ranks of which no agent says a group are taken for members of the service's
    only group, or where it has several or none, for a group without a name.
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
        """Return ranks by their groups."""
        found: dict[GroupId, list[DirectTargetState]] = {}
        for state in states:
            found.setdefault(self.group_of(state.target), []).append(state)
        return found

    def known_groups(self) -> set[GroupId]:
        """Return the groups that agents belong to."""
        self._refresh()
        return {
            group
            for service, named in self.named_groups.items()
            for group in named or {GroupId(service)}
        }

    def _default(self, service: str) -> GroupId:
        named = self.named_groups.get(service, set())
        return next(iter(named)) if len(named) == 1 else GroupId(service)

    def _refresh(self) -> None:
        if self.feed_number == self.directory.feed.number:
            return
        self.feed_number = self.directory.feed.number
        self.group_by_host, self.named_groups = {}, {}
        for row in self.directory.of_role(InstanceRole.TARGET).values():
            named = self.named_groups.setdefault(row.service, set())
            if row.group:
                group = GroupId(row.service, row.group)
                named.add(group)
                self.group_by_host[row.service, host_of(row.address)] = group
