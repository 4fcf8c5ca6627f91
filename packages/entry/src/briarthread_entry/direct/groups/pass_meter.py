"""
Duration of a group's pass, measured on an entry's own streams.

All ranks of a group make their passes together, and each running stream receives one
event per pass. The pause between two events is therefore the duration of a pass, and
every entry with a stream can measure it without communication.
"""

from briarthread_common.utils.decaying_mean import DecayingMean

PAUSE_WEIGHT = 0.05
"""Weight of one pause in the mean pass: an entry with eight streams observes a hundred
pauses a second, so that the mean follows the load within a few tenths of a second."""
COST_WEIGHT = 0.01
"""Weight of one pause in the mean request cost.

The cost changes with the skew of the experts, over seconds, and not with the load. A
slower mean keeps the concurrency limit from oscillating with the load that it bounds.
"""
PEAK_RISE_WEIGHT = 0.03
"""Weight of one pause in the peak request cost if it is above the peak."""
PEAK_DECAY_WEIGHT = 0.003
"""Weight of one pause in the peak request cost if it is below the peak. The peak then
lasts for the few seconds until the popularity of the experts shifts again."""
MAX_COST_RATIO = 3.0
"""Largest request cost taken from one pause, relative to the mean: single passes with
many prompts say little about the next ones."""
STALE_SECONDS = 2.0
"""Age of the last event from which on the means are no longer valid."""
MIN_RUNNING_REQUESTS = 8
"""Running requests below which a pause says little about a full group."""


class PassMeter:
    """
    Track the mean pause between events and the cost of a running request.

    The cost is the number of seconds that a running request adds to a pass. It rises
    for about a second whenever the popularity of the experts shifts; the peak cost is
    near the highest costs of the last seconds.
    ``fixed_seconds`` is the part of a pass that does not depend on the load.
    ``initial_cost`` is the cost before any observation. Without it the first pause
    alone would determine the mean, and after a restart that pause contains many
    prompts read at once while the requests of other entries are not known yet.

    >>> meter = PassMeter(fixed_seconds=0.02, initial_cost=0.002)
    >>> meter.note_event(None, now=1.0, running=20)
    >>> meter.note_event(1.0, now=1.16, running=20)
    >>> round(meter.mean_seconds(now=1.2), 3), round(meter.request_cost(now=1.2), 5)
    (0.16, 0.00204)
    """

    def __init__(self, fixed_seconds: float, initial_cost: float) -> None:
        self.fixed_seconds = fixed_seconds
        self.initial_cost = initial_cost
        self.pause = DecayingMean(PAUSE_WEIGHT)
        self.cost = DecayingMean(COST_WEIGHT, value=initial_cost, samples=1)
        self.peak_cost = initial_cost
        self.last_event = float("-inf")

    def note_event(self, previous: float | None, now: float, running: int) -> None:
        """Record an event, the time of the previous one and the running requests."""
        self.last_event = now
        if previous is None:
            return
        self.pause.add(now - previous)
        if running >= MIN_RUNNING_REQUESTS:
            cost = max(now - previous - self.fixed_seconds, 0.0) / running
            current_cost = max(self.cost.value, self.initial_cost)
            cost = min(cost, current_cost * MAX_COST_RATIO)
            self.cost.add(cost)
            self._update_peak(cost)

    def mean_seconds(self, now: float) -> float | None:
        """Return the mean pass in seconds, ``None`` without recent events."""
        return self.pause.value if self._is_current(now, self.pause) else None

    def request_cost(self, now: float) -> float | None:
        """Return the seconds that a running request adds to a pass, if known."""
        return self.cost.value if self._is_current(now, self.cost) else None

    def peak_request_cost(self, now: float) -> float | None:
        """Return the peak of the request cost over the last seconds, if known."""
        return self.peak_cost if self._is_current(now, self.cost) else None

    def _update_peak(self, cost: float) -> None:
        weight = PEAK_RISE_WEIGHT if cost > self.peak_cost else PEAK_DECAY_WEIGHT
        self.peak_cost += weight * (cost - self.peak_cost)

    def _is_current(self, now: float, mean: DecayingMean) -> bool:
        return mean.samples > 0 and now - self.last_event <= STALE_SECONDS
