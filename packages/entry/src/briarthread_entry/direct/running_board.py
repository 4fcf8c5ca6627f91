"""What all entries together have running at the targets."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from briarthread_common.http.report_stream import SILENCE_SECONDS
from briarthread_common.messages.running_report import RunningReport

CHECK_SECONDS = 0.25
"""How often silent entries are looked for; the sums are asked for at each
event of each stream, and summing anew each time took most of an entry's time
before 63 ranks."""


@dataclass(frozen=True, slots=True)
class _Heard:
    report: RunningReport
    at: float


class RunningBoard:
    """
    Hold the newest report of each other entry, and what they sum up to.

    Times are the runtime's seconds.

    >>> board = RunningBoard()
    >>> board.put("entry-2", RunningReport({"t-1": 3}), now=10.0)
    >>> board.elsewhere("t-1", now=11.0), board.elsewhere("t-1", now=12.0)
    (3, 0)
    """

    def __init__(self) -> None:
        self.heard: dict[str, _Heard] = {}
        self.totals: Counter[str] = Counter()
        self.checked = float("-inf")

    def put(self, entry: str, report: RunningReport, now: float) -> None:
        """Take over a report of another entry."""
        self.drop(entry)
        self.heard[entry] = _Heard(report, now)
        self.totals.update(report.running)

    def drop(self, entry: str) -> None:
        """Forget an entry that is gone."""
        heard = self.heard.pop(entry, None)
        if heard is not None:
            self.totals.subtract(heard.report.running)

    def reports(self, entries: Iterable[str], now: float) -> list[RunningReport]:
        """Return the fresh reports of some entries."""
        self._forget_stale(now)
        return [self.heard[name].report for name in entries if name in self.heard]

    def elsewhere(self, target: str, now: float) -> int:
        """Return the attempts that other entries have running at a target."""
        self._forget_stale(now)
        return self.totals[target]

    def each(self, service: str, now: float) -> float | None:
        """Return what others see that a running request adds to a pass."""
        self._forget_stale(now)
        seen = [
            heard.report.each[service]
            for heard in self.heard.values()
            if service in heard.report.each
        ]
        return sum(seen) / len(seen) if seen else None

    def _forget_stale(self, now: float) -> None:
        """Drop entries that have fallen silent, looking now and then."""
        if now < self.checked + CHECK_SECONDS:
            return
        self.checked = now
        for entry, heard in list(self.heard.items()):
            if now - heard.at > SILENCE_SECONDS:
                self.drop(entry)
