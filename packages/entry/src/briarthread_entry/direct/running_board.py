"""What all entries together have running at the targets."""

from dataclasses import dataclass

from briarthread_common.http.report_stream import SILENCE_SECONDS
from briarthread_common.messages.running_report import RunningReport


@dataclass(frozen=True, slots=True)
class _Heard:
    report: RunningReport
    at: float


class RunningBoard:
    """
    Hold the newest report of each other entry; times are the runtime's.

    >>> board = RunningBoard()
    >>> board.put("entry-2", RunningReport({"t-1": 3}), now=10.0)
    >>> board.elsewhere("t-1", now=11.0), board.elsewhere("t-1", now=12.0)
    (3, 0)
    """

    def __init__(self) -> None:
        self.heard: dict[str, _Heard] = {}

    def put(self, entry: str, report: RunningReport, now: float) -> None:
        """Take over a report of another entry."""
        self.heard[entry] = _Heard(report, now)

    def drop(self, entry: str) -> None:
        """Forget an entry that is gone."""
        self.heard.pop(entry, None)

    def elsewhere(self, target: str, now: float) -> int:
        """Return the attempts that other entries have running at a target."""
        return sum(heard.report.running.get(target, 0) for heard in self._fresh(now))

    def each(self, service: str, now: float) -> float | None:
        """Return what others see that a running request adds to a pass."""
        seen = [
            heard.report.each[service]
            for heard in self._fresh(now)
            if service in heard.report.each
        ]
        return sum(seen) / len(seen) if seen else None

    def _fresh(self, now: float) -> list[_Heard]:
        return [
            heard for heard in self.heard.values() if now - heard.at <= SILENCE_SECONDS
        ]
