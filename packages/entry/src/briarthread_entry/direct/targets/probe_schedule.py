"""Schedule of the attempts that test a target."""

from dataclasses import dataclass

from briarthread_common.utils.doubled_pause import doubled_pause

FIRST_INTERVAL_SECONDS = 1.0
"""Time in seconds to the first probe. A target that was just started speeds up within
seconds."""
MAX_INTERVAL_SECONDS = 16.0
"""Longest time in seconds between two probes. Each one may delay a caller."""


@dataclass(slots=True, eq=False)
class ProbeSchedule:
    """
    Tell when a target that is slow or silent may be tested with one more attempt.

    The interval doubles with each probe. ``sent_at`` is the time of a probe whose
    duration is not known yet. Times are in seconds on the event loop's clock.

    >>> schedule = ProbeSchedule()
    >>> schedule.restart(now=10.0)
    >>> schedule.note_sent(now=11.0)
    >>> schedule.next_at
    13.0
    """

    next_at: float = 0.0
    probes: int = 0
    sent_at: float | None = None

    def restart(self, now: float, wait: float = FIRST_INTERVAL_SECONDS) -> None:
        """Schedule the first probe ``wait`` seconds from now."""
        self.probes = 0
        self.sent_at = None
        self.next_at = now + wait

    def note_sent(self, now: float) -> None:
        """Record a probe and schedule the next one."""
        self.probes += 1
        self.sent_at = now
        self.next_at = now + doubled_pause(
            FIRST_INTERVAL_SECONDS, self.probes, MAX_INTERVAL_SECONDS
        )

    def takes_result(self, began: float) -> bool:
        """Return whether an attempt that began at a time shows a probe's result."""
        if self.sent_at is None or began < self.sent_at:
            return False
        self.sent_at = None
        return True
