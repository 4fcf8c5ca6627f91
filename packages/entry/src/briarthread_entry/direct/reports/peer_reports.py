"""Running reports of the other entries, and their sums."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from msgspec.structs import replace

from briarthread_common.core.metrics import Metrics
from briarthread_common.http.report_stream import REPORT_TIMEOUT_SECONDS
from briarthread_common.messages.crash_words import merge_crash_words
from briarthread_common.messages.limit_report import LimitReport, newest_limits
from briarthread_common.messages.running_report import (
    Demand,
    RunningReport,
    longest_backoffs,
    merge_names,
    merge_starts,
    sum_demands,
)
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker
from briarthread_entry.direct.limits.cold_targets import ColdTargets
from briarthread_entry.direct.limits.target_limits import TargetLimits
from briarthread_entry.direct.targets.leaving_targets import LeavingTargets
from briarthread_entry.direct.targets.target_runs import TargetRuns

STALE_CHECK_INTERVAL_SECONDS = 0.25
"""Interval at which expired reports are dropped.

The sums are read at every event of every stream. Computing them anew each time took
most of an entry's processor time with 63 ranks.
"""


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: RunningReport
    received_at: float
    expires_at: float

    def report_at(self, now: float) -> RunningReport:
        """Return the report with ages and remaining times updated to ``now``."""
        report = self.report
        if not (report.limits or report.crashes or report.backoffs or report.cold):
            return report
        limits = {
            target: LimitReport(word.per_second, word.age + now - self.received_at)
            for target, word in self.report.limits.items()
        }
        crashes = self.report.crashes.aged(now - self.received_at)
        backoffs = self._left(report.backoffs, now)
        cold = self._left(report.cold, now)
        return replace(
            report, limits=limits, crashes=crashes, backoffs=backoffs, cold=cold
        )

    def _left(self, times: Mapping[str, float], now: float) -> dict[str, float]:
        """Return the remaining times, in seconds, that are not over."""
        return {
            target: left
            for target, seconds in times.items()
            if (left := round(seconds - (now - self.received_at), 3)) > 0
        }


class PeerReports:
    """
    Store the newest report of each other entry, and the sums of all reports.

    Times are the runtime's, in seconds. Reported limits of targets are passed on to
    ``limits``, requests that crash targets to ``crashes``, targets that are
    shutting down to ``leaving_targets`` and cold targets to ``cold_targets``. What is
    reported of a former run of a target is ignored.

    >>> reports = PeerReports()
    >>> reports.put("entry-2", RunningReport({"t-1": 3}), now=10.0)
    >>> [reports.running_elsewhere("t-1", now) for now in (11.0, 12.0)]
    [3, 0]
    """

    def __init__(
        self,
        limits: TargetLimits | None = None,
        crashes: CrashTracker | None = None,
        leaving_targets: LeavingTargets | None = None,
        cold_targets: ColdTargets | None = None,
        runs: TargetRuns | None = None,
    ) -> None:
        self.limits = limits or TargetLimits()
        self.crashes = crashes or CrashTracker()
        self.leaving_targets = leaving_targets or LeavingTargets()
        self.cold_targets = cold_targets
        self.runs = runs or TargetRuns(Metrics())
        self.received: dict[str, _ReceivedReport] = {}
        self.totals: Counter[str] = Counter()
        self.demand_total: Demand | None = None
        self.backoff_until: dict[str, float] = {}
        self.last_check = float("-inf")

    def put(
        self,
        entry: str,
        report: RunningReport,
        now: float,
        lifetime: float = REPORT_TIMEOUT_SECONDS,
    ) -> None:
        """Store a report, which expires after ``lifetime`` seconds."""
        self._remove_report(entry)
        report = self.runs.current_part(report, now)
        self.received[entry] = _ReceivedReport(report, now, now + lifetime)
        self.limits.merge(entry, report.limits, now)
        self.crashes.merge(entry, report.crashes, now)
        self.leaving_targets.set_reported(entry, report.leaving)
        self._extend_backoffs(report, now)
        self._note_cold(report, now)
        self.totals.update(report.running)
        self.demand_total = None

    def discard_former_runs(self, targets: Iterable[str]) -> None:
        """Forget what was reported of the former runs of restarted targets."""
        for target in targets:
            self.backoff_until.pop(target, None)
        for entry, received in self.received.items():
            report = self.runs.current_part(received.report, received.received_at)
            self.received[entry] = _ReceivedReport(
                report, received.received_at, received.expires_at
            )

    def is_backing_off(self, target: str, now: float) -> bool:
        """Return whether a backoff that another entry reported is still in effect."""
        return self.backoff_until.get(target, now) > now

    def _extend_backoffs(self, report: RunningReport, now: float) -> None:
        """Extend the backoffs; a report that omits one does not end it."""
        for target, seconds in report.backoffs.items():
            until = max(self.backoff_until.get(target, now), now + seconds)
            self.backoff_until[target] = until

    def _note_cold(self, report: RunningReport, now: float) -> None:
        if self.cold_targets is not None:
            for target, seconds in report.cold.items():
                self.cold_targets.merge(target, seconds, now)

    def drop(self, entry: str) -> None:
        """Remove the reports of an entry."""
        self._remove_report(entry)
        self.leaving_targets.drop(entry)

    def _remove_report(self, entry: str) -> None:
        received = self.received.pop(entry, None)
        if received is not None:
            self.totals.subtract(received.report.running)
            self.demand_total = None

    def fresh_reports(self, entries: Iterable[str], now: float) -> list[RunningReport]:
        """Return the unexpired reports of some entries."""
        self._drop_expired(now)
        selected = [self.received[name] for name in entries if name in self.received]
        return [received.report_at(now) for received in selected]

    def running_elsewhere(self, target: str, now: float) -> int:
        """Return the attempts that other entries have running at a target."""
        self._drop_expired(now)
        return self.totals[target]

    def total_running_elsewhere(self, targets: Iterable[str], now: float) -> int:
        """Return the attempts that other entries have running at some targets."""
        self._drop_expired(now)
        return sum(self.totals.get(target, 0) for target in targets)

    def demand_elsewhere(self, service: str, now: float) -> dict[int, float]:
        """
        Return the demand at the other entries by rank; it must not be changed.

        >>> reports = PeerReports()
        >>> reports.put("entry-2", RunningReport(demand={"m": {0: 2.0}}), now=10.0)
        >>> reports.demand_elsewhere("m", 11.0), reports.demand_elsewhere("m", 12.0)
        ({0: 2.0}, {})
        """
        self._drop_expired(now)
        if self.demand_total is None:
            received = self.received.values()
            self.demand_total = sum_demands(one.report.demand for one in received)
        return self.demand_total.get(service, {})

    def sum_without(
        self, entry: str, own_report: RunningReport, now: float
    ) -> RunningReport:
        """
        Return the sum of all entries but one, with ``own_report`` included.

        >>> reports = PeerReports()
        >>> reports.put("entry-2", RunningReport({"t-1": 3, "t-2": 1}), now=10.0)
        >>> reports.put("entry-3", RunningReport({"t-1": 2}), now=10.0)
        >>> reports.sum_without("entry-2", RunningReport({"t-1": 1}), now=10.0).running
        {'t-1': 3}
        """
        self._drop_expired(now)
        received = self.received.get(entry)
        running = self.totals.copy()
        running.update(own_report.running)
        if received is not None:
            running.subtract(received.report.running)
        groups = {name for one in self.received.values() for name in one.report.each}
        request_costs = {
            name: self.request_cost(name, now) or 0.0 for name in groups
        } | own_report.each
        others = [
            r.report_at(now) for name, r in self.received.items() if name != entry
        ]
        limits = newest_limits([own_report.limits, *(one.limits for one in others)])
        crashes = merge_crash_words(
            [own_report.crashes, *(one.crashes for one in others)]
        )
        leaving = merge_names([own_report.leaving, *(one.leaving for one in others)])
        backoffs = longest_backoffs(
            [own_report.backoffs, *(one.backoffs for one in others)]
        )
        cold = longest_backoffs([own_report.cold, *(one.cold for one in others)])
        starts = merge_starts([own_report.starts, *(one.starts for one in others)])
        demand = sum_demands([own_report.demand, *(one.demand for one in others)])
        return RunningReport(
            dict(+running),
            request_costs,
            limits,
            crashes,
            leaving,
            backoffs,
            cold,
            starts,
            demand,
        )

    def request_cost(self, group: str, now: float) -> float | None:
        """Return the mean of the other entries' request costs, in seconds per pass."""
        self._drop_expired(now)
        costs = [
            received.report.each[group]
            for received in self.received.values()
            if group in received.report.each
        ]
        return sum(costs) / len(costs) if costs else None

    def _drop_expired(self, now: float) -> None:
        """Drop expired reports and backoffs, at most once per check interval."""
        if now < self.last_check + STALE_CHECK_INTERVAL_SECONDS:
            return
        self.last_check = now
        for target in [t for t, until in self.backoff_until.items() if until <= now]:
            del self.backoff_until[target]
        for entry, received in list(self.received.items()):
            if now > received.expires_at:
                self.drop(entry)
