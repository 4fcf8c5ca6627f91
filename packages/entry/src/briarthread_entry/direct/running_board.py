"""What all entries together have running at the targets."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from msgspec.structs import replace

from briarthread_common.http.report_stream import SILENCE_SECONDS
from briarthread_common.messages.crash_words import all_words
from briarthread_common.messages.limit_word import LimitWord, newest_words
from briarthread_common.messages.running_report import (
    RunningReport,
    longest_backoffs,
    merge_names,
)
from briarthread_entry.direct.crash_tracker import CrashTracker
from briarthread_entry.direct.leaving_targets import LeavingTargets
from briarthread_entry.direct.target_limits import TargetLimits

CHECK_SECONDS = 0.25
"""How often silent entries are looked for; the sums are asked for at each
event of each stream, and summing anew each time took most of an entry's time
before 63 ranks."""


@dataclass(frozen=True, slots=True)
class _Heard:
    report: RunningReport
    at: float
    until: float

    def report_at(self, now: float) -> RunningReport:
        """Return the report with its words as old as they are now."""
        report = self.report
        if not report.limits and not report.crashes and not report.backoffs:
            return report
        limits = {
            target: LimitWord(word.per_second, word.age + now - self.at)
            for target, word in self.report.limits.items()
        }
        crashes = self.report.crashes.aged(now - self.at)
        backoffs = {
            target: left
            for target, seconds in report.backoffs.items()
            if (left := round(seconds - (now - self.at), 3)) > 0
        }
        return replace(report, limits=limits, crashes=crashes, backoffs=backoffs)


class RunningBoard:
    """
    Hold the newest report of each other entry, and what they sum up to.

    Times are the runtime's seconds. What is told of targets' limits goes on to
    ``limits``, of requests that crash targets to ``crashes``, of leaving targets to
    ``leaving_targets``.

    >>> board = RunningBoard()
    >>> board.put("entry-2", RunningReport({"t-1": 3}), now=10.0)
    >>> board.elsewhere("t-1", now=11.0), board.elsewhere("t-1", now=12.0)
    (3, 0)
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
        self.heard: dict[str, _Heard] = {}
        self.totals: Counter[str] = Counter()
        self.backoff_until: dict[str, float] = {}
        self.checked = float("-inf")

    def put(
        self,
        entry: str,
        report: RunningReport,
        now: float,
        kept: float = SILENCE_SECONDS,
    ) -> None:
        """Take over a report, which counts for ``kept`` seconds without a newer one."""
        self._remove_report(entry)
        self.heard[entry] = _Heard(report, now, now + kept)
        self.limits.merge(entry, report.limits, now)
        self.crashes.merge(entry, report.crashes, now)
        self.leaving_targets.set_reported(entry, report.leaving)
        self._note_backoffs(report, now)
        self.totals.update(report.running)

    def backing_off(self, target: str, now: float) -> bool:
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
        heard = self.heard.pop(entry, None)
        if heard is not None:
            self.totals.subtract(heard.report.running)

    def reports(self, entries: Iterable[str], now: float) -> list[RunningReport]:
        """Return the fresh reports of some entries."""
        self._forget_stale(now)
        found = [self.heard[name] for name in entries if name in self.heard]
        return [heard.report_at(now) for heard in found]

    def elsewhere(self, target: str, now: float) -> int:
        """Return the attempts that other entries have running at a target."""
        self._forget_stale(now)
        return self.totals[target]

    def elsewhere_at(self, targets: Iterable[str], now: float) -> int:
        """Return the attempts that other entries have running at some targets."""
        self._forget_stale(now)
        return sum(self.totals.get(target, 0) for target in targets)

    def without(self, entry: str, own: RunningReport, now: float) -> RunningReport:
        """
        Return what all others than one entry have running, with ``own`` among them.

        >>> board = RunningBoard()
        >>> board.put("entry-2", RunningReport({"t-1": 3, "t-2": 1}), now=10.0)
        >>> board.put("entry-3", RunningReport({"t-1": 2}), now=10.0)
        >>> board.without("entry-2", RunningReport({"t-1": 1}), now=10.0).running
        {'t-1': 3}
        """
        self._forget_stale(now)
        heard = self.heard.get(entry)
        running = self.totals.copy()
        running.update(own.running)
        if heard is not None:
            running.subtract(heard.report.running)
        groups = {name for one in self.heard.values() for name in one.report.each}
        each = {name: self.each(name, now) or 0.0 for name in groups} | own.each
        others = [r.report_at(now) for name, r in self.heard.items() if name != entry]
        limits = newest_words([own.limits, *(one.limits for one in others)])
        crashes = all_words([own.crashes, *(one.crashes for one in others)])
        leaving = merge_names([own.leaving, *(one.leaving for one in others)])
        backoffs = longest_backoffs([own.backoffs, *(one.backoffs for one in others)])
        return RunningReport(dict(+running), each, limits, crashes, leaving, backoffs)

    def each(self, group: str, now: float) -> float | None:
        """Return what others see that a running request adds to a pass."""
        self._forget_stale(now)
        seen = [
            heard.report.each[group]
            for heard in self.heard.values()
            if group in heard.report.each
        ]
        return sum(seen) / len(seen) if seen else None

    def _forget_stale(self, now: float) -> None:
        """Drop entries that have fallen silent, looking now and then."""
        if now < self.checked + CHECK_SECONDS:
            return
        self.checked = now
        for target in [t for t, until in self.backoff_until.items() if until <= now]:
            del self.backoff_until[target]
        for entry, heard in list(self.heard.items()):
            if now > heard.until:
                self.drop(entry)
