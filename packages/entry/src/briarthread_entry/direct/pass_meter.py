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
STALE_SECONDS = 2.0
"""Age past which the mean says nothing about the group any more."""


class PassMeter:
    """
    Keep the mean pause between events, and when the last event came.

    >>> meter = PassMeter()
    >>> meter.note_event(None, now=1.0)
    >>> meter.note_event(1.0, now=1.06)
    >>> round(meter.seconds(now=1.1), 3)
    0.06
    """

    def __init__(self) -> None:
        self.mean = DecayingMean(PAUSE_WEIGHT)
        self.last_event = float("-inf")

    def note_event(self, previous: float | None, now: float) -> None:
        """Record an event and when the one before it in its stream came."""
        self.last_event = now
        if previous is not None:
            self.mean.add(now - previous)

    def seconds(self, now: float) -> float | None:
        """Return the mean pass, ``None`` when no stream has shown it lately."""
        if self.mean.samples == 0 or now - self.last_event > STALE_SECONDS:
            return None
        return self.mean.value
