"""Observed durations of calls to a target, by how full the target was."""

from dataclasses import dataclass, field

from briarthread_common.utils.decaying_mean import DecayingMean

FULL_BAND = 4
"""Number of the band of a full target; each band below it is a quarter of the slots."""
MEMORY_SECONDS = 60.0
"""Time in seconds after which a band without samples is forgotten. Requests avoid a
band that is slow, so a target that has recovered would otherwise be avoided forever.
Each time, an entry learns a slow band again at the cost of a late response."""
STEEP_FACTOR = 2.0
"""Growth of the duration with the load above which the bands are used. Every cost
grows by up to this factor between an empty and a full target, without any observation.
"""
SAMPLE_WEIGHT = 0.15
"""Weight of one sample in a band's mean, as in the mean over all loads."""


@dataclass(slots=True, eq=False)
class LoadBand:
    """Hold the mean duration of calls in one band and the time of the newest one."""

    mean: DecayingMean
    seen_at: float


@dataclass(slots=True, eq=False)
class LoadDurations:
    """
    Learn the duration of a call by the share of the slots in use when it was sent.

    It is for targets that slow down when nearly full. A target whose duration depends
    little on the load has no duration by load: one mean over all calls is then more
    exact. Times are in seconds.

    >>> durations = LoadDurations()
    >>> durations.add(0.0, 0.02, now=1.0)
    >>> durations.add(0.9, 0.2, now=1.0)
    >>> [durations.seconds_at(fill, now=2.0) for fill in (0.1, 0.5, 0.8)]
    [0.02, 0.02, 0.2]
    >>> durations.seconds_at(0.8, now=70.0) is None
    True
    """

    bands: dict[int, LoadBand] = field(default_factory=dict)

    def add(self, fill: float, seconds: float, now: float) -> None:
        """Record a call that was sent when ``fill`` of the slots were in use."""
        number = band_number(fill)
        band = self.bands.get(number)
        if band is None or now - band.seen_at > MEMORY_SECONDS:
            band = self.bands[number] = LoadBand(DecayingMean(SAMPLE_WEIGHT), now)
        band.mean.add(seconds)
        band.seen_at = now

    def seconds_at(self, fill: float, now: float) -> float | None:
        """
        Return the mean duration at a load, ``None`` if the load makes no difference.

        A band without samples counts like the next lower one that has some.
        """
        known = self._known_means(now)
        if len(known) < 2:
            return None
        lightest = known[min(known)]
        if max(known.values()) < STEEP_FACTOR * lightest:
            return None
        below = [number for number in known if number <= band_number(fill)]
        return known[max(below)] if below else lightest

    def _known_means(self, now: float) -> dict[int, float]:
        return {
            number: band.mean.value
            for number, band in self.bands.items()
            if now - band.seen_at <= MEMORY_SECONDS
        }


def band_number(fill: float) -> int:
    """
    Return the number of the band of a share of slots in use.

    >>> [band_number(fill) for fill in (0.0, 0.3, 0.99, 1.0, 2.5)]
    [0, 1, 3, 4, 4]
    """
    return min(int(fill * FULL_BAND), FULL_BAND)
