"""An entry's state of one target."""

from dataclasses import dataclass

from briarthread_common.messages.instance import Instance
from briarthread_common.messages.load_report import LoadReport
from briarthread_common.utils.doubled_pause import doubled_pause

EJECTION_FAILURES = 3
"""Consecutive failures after which a target is ejected for some time."""
BASE_EJECTION_SECONDS = 5.0
"""Duration of the first ejection; it doubles with each further one."""
MAX_EJECTION_SECONDS = 60.0
SLOW_START_SECONDS = 5.0
INITIAL_SERVICE_MS = 20.0
"""Service time assumed while the reports state none."""


@dataclass(slots=True, eq=False)
class TargetState:
    """
    Hold the last report of a target and the number of attempts sent since.

    ``incarnation`` is empty until the agent's first report. The target's backoff
    lasts until ``backoff_until``. Times are Unix seconds.
    """

    instance: Instance
    incarnation: str = ""
    report: LoadReport | None = None
    sent_since_report: int = 0
    connected: bool = False
    up_since: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    backoff_until: float = 0.0

    def apply_report(self, report: LoadReport, now: float) -> bool:
        """Apply a report unless a newer one is known; return whether it was applied."""
        if report.i != self.incarnation:
            self.incarnation = report.i
            self.report = None
            self.up_since = now
            self.failures = 0
        elif self.report is not None and report.n <= self.report.n:
            return False
        self.report = report
        self.backoff_until = now + report.b
        self.sent_since_report = 0
        return True

    def note_success(self) -> None:
        """Record a success, which resets failures and ejections."""
        self.failures = 0
        self.ejections = 0

    def note_failure(self, now: float) -> bool:
        """Record a failure; return whether it ejects the target."""
        self.failures += 1
        if self.failures < EJECTION_FAILURES:
            return False
        self.failures = 0
        self.ejections += 1
        pause = doubled_pause(
            BASE_EJECTION_SECONDS, self.ejections - 1, MAX_EJECTION_SECONDS
        )
        self.ejected_until = now + pause
        return True

    def usable(self, now: float) -> bool:
        """Return whether new attempts may be sent to the target."""
        return (
            self.connected
            and self.report is not None
            and not self.report.d
            and self.ejected_until <= now
            and self.backoff_until <= now
        )

    def cost(self, now: float) -> float:
        """
        Return the milliseconds that one more attempt is expected to take.

        They follow from the reported load, the attempts sent since and the measured
        service time. A target that has just come up counts as slower at first, so that
        it is not flooded because of an empty report.
        """
        report = self.report
        if report is None:
            return float("inf")
        service_ms = report.m or INITIAL_SERVICE_MS
        ahead = report.r + report.q + self.sent_since_report
        expected = service_ms * (1 + ahead / max(report.s, 1))
        age = now - self.up_since
        if age < SLOW_START_SECONDS:
            expected *= 2 - age / SLOW_START_SECONDS
        return expected
