"""Runs of targets, which their start times tell apart."""

from collections.abc import Container, Iterable

from msgspec.structs import replace

from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.messages.limit_report import LimitReport
from briarthread_common.messages.running_report import RunningReport

MAX_KNOWN_RUNS = 4096
"""Number of known start times above which those of removed targets are forgotten, about
three times the targets of the largest deployment."""


class TargetRuns:
    """
    Track the current run of each target and select what was reported of it.

    Another start time under the same name means another run. Start times are compared
    for equality only, since wall clocks jump. A report that states no start time comes
    from an entry that does not know it; if this entry has seen the target restart, such
    a report counts only if it states something later than that. Times are in seconds on
    the event loop's clock.

    >>> runs = TargetRuns(Metrics())
    >>> first = DirectTarget("t-1", "s", "", "y", 6, False, started_ms=1000)
    >>> second = DirectTarget("t-1", "s", "", "y", 6, False, started_ms=2000)
    >>> runs.note(first, now=5.0), runs.note(second, now=9.0)
    (False, True)
    >>> runs.is_current("t-1", 1000), runs.is_current("t-1", 2000)
    (False, True)
    >>> runs.is_current("t-1", None, at=8.0), runs.is_current("t-1", None, at=9.5)
    (False, True)
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.starts: dict[str, int] = {}
        self.restarted_at: dict[str, float] = {}

    def note(self, target: DirectTarget, now: float) -> bool:
        """Record the listed run; return whether it follows another known one."""
        started = target.started_ms
        if started is None:
            return False
        known = self.starts.get(target.name, started)
        self.starts[target.name] = started
        if known == started:
            return False
        self.restarted_at[target.name] = now
        return True

    def prune(self, listed: Container[str]) -> None:
        """Forget the runs of targets that are not listed if too many are known."""
        if len(self.starts) <= MAX_KNOWN_RUNS:
            return
        for name in [name for name in self.starts if name not in listed]:
            del self.starts[name]
            self.restarted_at.pop(name, None)

    def starts_of(self, names: Iterable[str]) -> dict[str, int]:
        """Return the known start times of some targets, to report them."""
        if not self.starts:
            return {}
        return {name: self.starts[name] for name in names if name in self.starts}

    def is_current(
        self, name: str, started: int | None, at: float = float("-inf")
    ) -> bool:
        """Return whether something stated at some time is about the current run."""
        if started is not None:
            return self.starts.get(name) == started
        restarted = self.restarted_at.get(name)
        return restarted is None or at > restarted

    def current_part(self, report: RunningReport, received: float) -> RunningReport:
        """Return a report without what it states of other runs."""
        if not report.starts and not self.restarted_at:
            return report
        limits = self._current_limits(report, received)
        leaving = tuple(self._current_names(report, report.leaving, "leaving"))
        backing_off = self._current_names(report, report.backoffs, "backoff")
        return replace(
            report,
            limits=limits,
            leaving=leaving,
            backoffs={name: report.backoffs[name] for name in backing_off},
            starts={
                name: started
                for name, started in report.starts.items()
                if self.is_current(name, started)
            },
        )

    def _current_limits(
        self, report: RunningReport, received: float
    ) -> dict[str, LimitReport]:
        current = {
            name: limit
            for name, limit in report.limits.items()
            if self.is_current(name, report.starts.get(name), received - limit.age)
        }
        self._count_ignored("limit", len(report.limits) - len(current))
        return current

    def _current_names(
        self, report: RunningReport, names: Iterable[str], kind: str
    ) -> list[str]:
        listed = list(names)
        current = [n for n in listed if self.is_current(n, report.starts.get(n))]
        self._count_ignored(kind, len(listed) - len(current))
        return current

    def _count_ignored(self, kind: str, count: int) -> None:
        if count:
            self.metrics.former_run_reports.labels(kind).inc(count)
