"""What agents say of the groups that an entry sends to."""

from dataclasses import dataclass

import anyio

from briarthread_common.direct.group_id import GroupId
from briarthread_common.http.report_stream import REPORT_TIMEOUT_SECONDS
from briarthread_common.messages.group_report import GroupReport
from briarthread_common.utils.host_of import host_of


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: GroupReport
    at: float


class GroupReports:
    """
    Hold the newest report on each group; times are the runtime's.

    >>> board, group = GroupReports(), GroupId("model", "g-1")
    >>> board.put(group, GroupReport(slow={"10.2.0.1": 4.0}), now=10.0)
    >>> board.slowdown(group, "10.2.0.1:80", now=11.0)
    4.0
    >>> board.slowdown(group, "10.2.0.1:80", now=12.0)
    1.0
    """

    def __init__(self) -> None:
        self.received: dict[GroupId, _ReceivedReport] = {}
        self.changed = anyio.Event()

    def put(self, group: GroupId, report: GroupReport, now: float) -> None:
        """Take over a report."""
        before = self.received.get(group)
        self.received[group] = _ReceivedReport(report, now)
        if before is None or before.report != report:
            changed, self.changed = self.changed, anyio.Event()
            changed.set()

    async def wait_change(self) -> None:
        """Return when some group's report has changed."""
        await self.changed.wait()

    def slowdown(self, group: GroupId, address: str, now: float) -> float:
        """Return how many times longer than usual a rank takes for its work."""
        report = self._fresh(group, now)
        return 1.0 if report is None else report.slow.get(host_of(address), 1.0)

    def has_slow_rank(self, group: GroupId, now: float) -> bool:
        """Tell whether some rank of a group takes longer than usual."""
        report = self._fresh(group, now)
        return report is not None and bool(report.slow)

    def is_serving(self, group: GroupId, now: float) -> bool | None:
        """Tell whether a group serves, ``None`` where no agent says so."""
        report = self._fresh(group, now)
        return None if report is None else report.serving

    def _fresh(self, group: GroupId, now: float) -> GroupReport | None:
        received = self.received.get(group)
        if received is None or now - received.at > REPORT_TIMEOUT_SECONDS:
            return None
        return received.report
