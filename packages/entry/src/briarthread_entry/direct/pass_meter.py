"""
The length of a group's pass, as an entry's own streams show it.

All ranks of a group make their passes together and each running stream gets
one event a pass. So the pauses between events are the pass, and every entry
with a stream knows it without asking anyone.
"""

from briarthread_common.utils.decaying_mean import DecayingMean

PAUSE_WEIGHT = 0.05
"""Weight of one pause: an entry with eight streams sees a hundred a second, so
that the mean follows the load within a few tenths of a second."""
SHARE_WEIGHT = 0.01
"""Weight of one pause in what each running request adds to a pass. That changes
with the experts' skew, over seconds, and not with the load; a steadier mean
keeps the limit from swinging with the load that it bounds."""
STALE_SECONDS = 2.0
"""Age past which the mean says nothing about the group any more."""
FEW = 8
"""Running requests under which a pause says little about a full group."""


class PassMeter:
    """
    Keep the mean pause between events, and what each running request adds.

    ``fixed`` is the part of a pass, in seconds, that does not depend on load.

    >>> meter = PassMeter(fixed=0.02)
    >>> meter.note_event(None, now=1.0, running=20)
    >>> meter.note_event(1.0, now=1.06, running=20)
    >>> round(meter.seconds(now=1.1), 3), round(meter.each(now=1.1), 4)
    (0.06, 0.002)
    """

    def __init__(self, fixed: float) -> None:
        self.fixed = fixed
        self.mean = DecayingMean(PAUSE_WEIGHT)
        self.share = DecayingMean(SHARE_WEIGHT)
        self.last_event = float("-inf")

    def note_event(self, previous: float | None, now: float, running: int) -> None:
        """Record an event, when the one before it came, and what runs."""
        self.last_event = now
        if previous is None:
            return
        self.mean.add(now - previous)
        if running >= FEW:
            self.share.add(max(now - previous - self.fixed, 0.0) / running)

    def seconds(self, now: float) -> float | None:
        """Return the mean pass, ``None`` when no stream has shown it lately."""
        return self.mean.value if self._fresh(now, self.mean) else None

    def each(self, now: float) -> float | None:
        """Return the seconds that a running request adds to a pass, if known."""
        return self.share.value if self._fresh(now, self.share) else None

    def _fresh(self, now: float, mean: DecayingMean) -> bool:
        return mean.samples > 0 and now - self.last_event <= STALE_SECONDS
