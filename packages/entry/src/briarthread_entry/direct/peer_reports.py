"""What all entries together have running at the targets."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from msgspec.structs import replace

from briarthread_common.http.report_stream import REPORT_TIMEOUT_SECONDS
from briarthread_common.messages.crash_words import merge_crash_words
from briarthread_common.messages.limit_report import LimitReport, newest_limits
from briarthread_common.messages.running_report import (
    RunningReport,
    longest_backoffs,
    merge_names,
)
from briarthread_entry.direct.crash_tracker import CrashTracker
from briarthread_entry.direct.leaving_targets import LeavingTargets
from briarthread_entry.direct.target_limits import TargetLimits

STALE_CHECK_INTERVAL_SECONDS = 0.25
"""How often silent entries are looked for; the sums are asked for at each
event of each stream, and summing anew each time took most of an entry's time
before 63 ranks."""


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: RunningReport
    at: float
    until: float

    def report_at(self, now: float) -> RunningReport:
        """Return the report with its words as old as they are now."""
        report = self.report
        if not report.limits and not report.crashes and not report.backoffs:
            return report
        limits = {
            target: LimitReport(word.per_second, word.age + now - self.at)
            for target, word in self.report.limits.items()
        }
        crashes = self.report.crashes.aged(now - self.at)
        backoffs = {
            target: left
            for target, seconds in report.backoffs.items()
            if (left := round(seconds - (now - self.at), 3)) > 0
        }
        return replace(report, limits=limits, crashes=crashes, backoffs=backoffs)


class PeerReports:
    """
    Hold the newest report of each other entry, and what they sum up to.

    Times are the runtime's seconds. What is told of targets' limits goes on to
    ``limits``, of requests that crash targets to ``crashes``, of leaving targets to
    ``leaving_targets``.

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
    ) -> None:
        self.limits = limits or TargetLimits()
        self.crashes = crashes or CrashTracker()
        self.leaving_targets = leaving_targets or LeavingTargets()
        self.received: dict[str, _ReceivedReport] = {}
        self.totals: Counter[str] = Counter()
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
        self.received[entry] = _ReceivedReport(report, now, now + lifetime)
        self.limits.merge(entry, report.limits, now)
        self.crashes.merge(entry, report.crashes, now)
        self.leaving_targets.set_reported(entry, report.leaving)
        self._note_backoffs(report, now)
        self.totals.update(report.running)

    def is_backing_off(self, target: str, now: float) -> bool:
        """Return whether a backoff that another entry reported is still in effect."""
        return self.backoff_until.get(target, now) > now

    def _note_backoffs(self, report: RunningReport, now: float) -> None:
        """Extend the backoffs; a report that omits one does not end it."""
        for target, seconds in report.backoffs.items():
            until = max(self.backoff_until.get(target, now), now + seconds)
            self.backoff_until[target] = until

    def drop(self, entry: str) -> None:
        """Forget an entry that is gone."""
        self._remove_report(entry)
        self.leaving_targets.drop(entry)

    def _remove_report(self, entry: str) -> None:
        received = self.received.pop(entry, None)
        if received is not None:
            self.totals.subtract(received.report.running)

    def fresh_reports(self, entries: Iterable[str], now: float) -> list[RunningReport]:
        """Return the fresh reports of some entries."""
        self._forget_stale(now)
        found = [self.received[name] for name in entries if name in self.received]
        return [received.report_at(now) for received in found]

    def running_elsewhere(self, target: str, now: float) -> int:
        """Return the attempts that other entries have running at a target."""
        self._forget_stale(now)
        return self.totals[target]

    def total_running_elsewhere(self, targets: Iterable[str], now: float) -> int:
        """Return the attempts that other entries have running at some targets."""
        self._forget_stale(now)
        return sum(self.totals.get(target, 0) for target in targets)

    def sum_without(self, entry: str, own: RunningReport, now: float) -> RunningReport:
        """
        Return what all others than one entry have running, with ``own`` among them.

        >>> reports = PeerReports()
        >>> reports.put("entry-2", RunningReport({"t-1": 3, "t-2": 1}), now=10.0)
        >>> reports.put("entry-3", RunningReport({"t-1": 2}), now=10.0)
        >>> reports.sum_without("entry-2", RunningReport({"t-1": 1}), now=10.0).running
        {'t-1': 3}
        """
        self._forget_stale(now)
        received = self.received.get(entry)
        running = self.totals.copy()
        running.update(own.running)
        if received is not None:
            running.subtract(received.report.running)
        groups = {name for one in self.received.values() for name in one.report.each}
        each = {name: self.request_cost(name, now) or 0.0 for name in groups} | own.each
        others = [
            r.report_at(now) for name, r in self.received.items() if name != entry
        ]
        limits = newest_limits([own.limits, *(one.limits for one in others)])
        crashes = merge_crash_words([own.crashes, *(one.crashes for one in others)])
        leaving = merge_names([own.leaving, *(one.leaving for one in others)])
        backoffs = longest_backoffs([own.backoffs, *(one.backoffs for one in others)])
        return RunningReport(dict(+running), each, limits, crashes, leaving, backoffs)

    def request_cost(self, group: str, now: float) -> float | None:
        """Return what others see that a running request adds to a pass."""
        self._forget_stale(now)
        seen = [
            received.report.each[group]
            for received in self.received.values()
            if group in received.report.each
        ]
        return sum(seen) / len(seen) if seen else None

    def _forget_stale(self, now: float) -> None:
        """Drop entries that have fallen silent, looking now and then."""
        if now < self.last_check + STALE_CHECK_INTERVAL_SECONDS:
            return
        self.last_check = now
        for target in [t for t, until in self.backoff_until.items() if until <= now]:
            del self.backoff_until[target]
        for entry, received in list(self.received.items()):
            if now > received.until:
                self.drop(entry)
