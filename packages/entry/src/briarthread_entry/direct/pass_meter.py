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
MOST_TIMES = 3.0
"""How many times the mean one pause may count at most in what each request
adds: single passes with many prompts say little about the next ones."""
STALE_SECONDS = 2.0
"""Age past which the mean says nothing about the group any more."""
FEW = 8
"""Running requests under which a pause says little about a full group."""


class PassMeter:
    """
    Keep the mean pause between events, and what each running request adds.

    ``fixed_seconds`` is the part of a pass, in seconds, that does not depend on load;
    ``initial_cost`` is what a running request adds before anything was seen. Without
    it the first pause would count for all: after a restart that is one with
    many prompts read at once, and what runs elsewhere is not known yet.

    >>> meter = PassMeter(fixed_seconds=0.02, initial_cost=0.002)
    >>> meter.note_event(None, now=1.0, running=20)
    >>> meter.note_event(1.0, now=1.16, running=20)
    >>> round(meter.mean_seconds(now=1.2), 3), round(meter.request_cost(now=1.2), 5)
    (0.16, 0.00204)
    """

    def __init__(self, fixed_seconds: float, initial_cost: float) -> None:
        self.fixed_seconds = fixed_seconds
        self.initial_cost = initial_cost
        self.mean = DecayingMean(PAUSE_WEIGHT)
        self.cost = DecayingMean(SHARE_WEIGHT, value=initial_cost, samples=1)
        self.last_event = float("-inf")

    def note_event(self, previous: float | None, now: float, running: int) -> None:
        """Record an event, when the one before it came, and what runs."""
        self.last_event = now
        if previous is None:
            return
        self.mean.add(now - previous)
        if running >= FEW:
            each = max(now - previous - self.fixed_seconds, 0.0) / running
            known = max(self.cost.value, self.initial_cost)
            self.cost.add(min(each, known * MOST_TIMES))

    def mean_seconds(self, now: float) -> float | None:
        """Return the mean pass, ``None`` when no stream has shown it lately."""
        return self.mean.value if self._fresh(now, self.mean) else None

    def request_cost(self, now: float) -> float | None:
        """Return the seconds that a running request adds to a pass, if known."""
        return self.cost.value if self._fresh(now, self.cost) else None

    def _fresh(self, now: float, mean: DecayingMean) -> bool:
        return mean.samples > 0 and now - self.last_event <= STALE_SECONDS
