"""Results of a simulation of prompts whose segments crash targets."""

from dataclasses import dataclass, field

STABLE_SECONDS = 3.0
"""Time in seconds after a crash or a disturbance within which arrivals are allowed."""
CRASHES_ALLOWED = 5
"""Crashes up to which requests may be sent without limit."""


@dataclass(frozen=True, slots=True)
class CulpritArrival:
    """Arrival of a request that crashes targets, at a target; ``at`` is in seconds."""

    at: float
    entry: str
    culprit: str


@dataclass(frozen=True, slots=True)
class SoundRequest:
    """First attempt of a sound request; ``at`` is in seconds."""

    at: float
    account: str
    status: int


@dataclass(slots=True)
class SegmentCrashResults:
    """
    Crashes by culprit, arrivals and sound requests; times are in seconds.

    ``out_of_touch`` lists entry, begin and end of each disturbance of an entry, which
    counts for ``STABLE_SECONDS`` longer. ``blocked`` holds all segments that any entry
    blocked, separated by spaces.
    """

    crashes: dict[str, list[float]] = field(default_factory=dict)
    arrivals: list[CulpritArrival] = field(default_factory=list)
    sound: list[SoundRequest] = field(default_factory=list)
    culprits_sent: list[float] = field(default_factory=list)
    out_of_touch: list[tuple[str, float, float]] = field(default_factory=list)
    blocked: set[str] = field(default_factory=set)

    def late_arrivals(self, culprit: str) -> int:
        """Return the arrivals, of entries in touch, long after the fifth crash."""
        crashes = self.crashes.get(culprit, [])
        if len(crashes) < CRASHES_ALLOWED:
            return 0
        since = crashes[CRASHES_ALLOWED - 1] + STABLE_SECONDS
        return sum(
            arrival.at > since and self._in_touch(arrival)
            for arrival in self.arrivals
            if arrival.culprit == culprit
        )

    def served_before(self) -> float:
        """Return the share of sound requests served before the first crash."""
        first = min((times[0] for times in self.crashes.values()), default=0.0)
        return self._served(0.0, first) if first > 1.0 else 1.0

    def served_after(self, account: str = "") -> float:
        """Return the share served while culprits still come, after the last crash."""
        counted = [
            times[min(len(times), CRASHES_ALLOWED) - 1]
            for times in self.crashes.values()
        ]
        since = max(counted, default=0.0) + 2 * STABLE_SECONDS
        return self._served(since, max(self.culprits_sent), account)

    def _served(self, since: float, until: float, account: str = "") -> float:
        statuses = [
            request.status
            for request in self.sound
            if since <= request.at <= until and request.account.startswith(account)
        ]
        return sum(s == 200 for s in statuses) / len(statuses) if statuses else 0.0

    def _in_touch(self, arrival: CulpritArrival) -> bool:
        return not any(
            entry == arrival.entry and begin <= arrival.at <= end + STABLE_SECONDS
            for entry, begin, end in self.out_of_touch
        )
