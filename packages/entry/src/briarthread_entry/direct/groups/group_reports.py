"""Newest agent report on each group that an entry sends to."""

from dataclasses import dataclass

import anyio

from briarthread_common.direct.group_id import GroupId
from briarthread_common.http.report_stream import REPORT_TIMEOUT_SECONDS
from briarthread_common.messages.group_report import GroupReport
from briarthread_common.utils.host_of import host_of


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: GroupReport
    received_at: float


class GroupReports:
    """
    Store the newest report on each group; times are the runtime's.

    >>> reports, group = GroupReports(), GroupId("model", "g-1")
    >>> reports.put(group, GroupReport(slow={"10.2.0.1": 4.0}), now=10.0)
    >>> reports.slowdown(group, "10.2.0.1:80", now=11.0)
    4.0
    >>> reports.slowdown(group, "10.2.0.1:80", now=12.0)
    1.0
    """

    def __init__(self) -> None:
        self.received: dict[GroupId, _ReceivedReport] = {}
        self.changed = anyio.Event()

    def put(self, group: GroupId, report: GroupReport, now: float) -> None:
        """Store a report and wake the waiting tasks if it differs from the last one."""
        previous = self.received.get(group)
        self.received[group] = _ReceivedReport(report, now)
        if previous is None or previous.report != report:
            changed, self.changed = self.changed, anyio.Event()
            changed.set()

    async def wait_change(self) -> None:
        """Wait until the report of some group changes."""
        await self.changed.wait()

    def slowdown(self, group: GroupId, address: str, now: float) -> float:
        """Return the factor by which a rank is slower than usual."""
        report = self._current(group, now)
        return 1.0 if report is None else report.slow.get(host_of(address), 1.0)

    def has_slow_rank(self, group: GroupId, now: float) -> bool:
        """Return whether some rank of a group is slower than usual."""
        report = self._current(group, now)
        return report is not None and bool(report.slow)

    def is_serving(self, group: GroupId, now: float) -> bool | None:
        """Return whether a group serves, ``None`` without a current report."""
        report = self._current(group, now)
        return None if report is None else report.serving

    def _current(self, group: GroupId, now: float) -> GroupReport | None:
        received = self.received.get(group)
        if received is None or now - received.received_at > REPORT_TIMEOUT_SECONDS:
            return None
        return received.report
