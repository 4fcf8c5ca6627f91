"""When the lock-step groups made no passes, as all entries have seen."""

from collections import defaultdict
from collections.abc import Mapping

from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.group_stop_report import GroupStopReport
from briarthread_entry.direct.crashes.group_stops import GroupStops


class KnownStops:
    """
    Keep the stops of each group, by its name.

    An entry that sends few requests to a group learns of most stops from others.
    """

    def __init__(self) -> None:
        self.groups: defaultdict[str, GroupStops] = defaultdict(GroupStops)

    def of(self, group: GroupId) -> GroupStops:
        """Return the stops of a group."""
        return self.groups[str(group)]

    def report(self, now: float) -> dict[str, tuple[GroupStopReport, ...]]:
        """Return what this entry itself has seen, by group."""
        reports = {name: stops.report(now) for name, stops in self.groups.items()}
        return {name: report for name, report in reports.items() if report}

    def merge(
        self, reports: Mapping[str, tuple[GroupStopReport, ...]], now: float
    ) -> None:
        """Merge what another entry reports."""
        for name, stops in reports.items():
            self.groups[name].merge(stops, now)
