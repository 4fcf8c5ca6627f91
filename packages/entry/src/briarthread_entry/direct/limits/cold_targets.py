"""
Targets that were started recently and tolerate only a low rate of requests.

It handles the restart of single targets and the return of a whole data centre. A cold
target crashes well above its service's ``cold_rate``, so a cold time is only ever
extended: each source may be late, and none of them is trusted to shorten it.
"""

from collections.abc import Callable, Container, Sequence

from loguru import logger

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.read_cold_time import read_cold_time

AFTER_COLD_SECONDS = 1.0
"""Time in seconds after the cold time for which the rate is still bounded: the
remaining time in a row may be wrong by about as much."""
AFTER_COLD_FACTOR = 2.0
"""Rate after the cold time, as a multiple of the cold rate."""
MAX_COLD_SECONDS = 600.0
"""Longest cold time in seconds that a source may state. It limits the effect of a wrong
value, since a cold time is never shortened."""

FindTarget = Callable[[str], DirectTarget | None]
FindService = Callable[[str], DirectService | None]


class ColdTargets:
    """
    Track until when the rate of requests to each target is bounded.

    The sources are the platform's rows, the targets' responses, other entries, and
    events after which a target must be assumed cold. What other entries reported is
    not passed on in running reports and requests for tokens: with each transmission
    it would get longer.
    ``find_target`` and ``find_service`` return what is known by name. Times are in
    seconds on the event loop's clock.

    >>> service = DirectService("s", 100, cold_seconds=3.0, cold_rate=17.0)
    >>> target = DirectTarget("t-1", "s", "", "a", 6, False, warmup_seconds=2.0)
    >>> cold = ColdTargets({"t-1": target}.get, {"s": service}.get, Metrics())
    >>> cold.note_row(target, now=10.0)
    >>> [cold.rate("t-1", now) for now in (11.9, 12.1, 13.1)]
    [17.0, 34.0, None]
    """

    def __init__(
        self, find_target: FindTarget, find_service: FindService, metrics: Metrics
    ) -> None:
        self.find_target = find_target
        self.find_service = find_service
        self.metrics = metrics
        self.ends: dict[str, float] = {}
        self.own_ends: dict[str, float] = {}
        self.stated_ends: dict[str, float] = {}
        self.without_issuer_until: dict[str, float] = {}

    def mark_cold(
        self, target: str, seconds: float, now: float, source: str = "event"
    ) -> None:
        """Record that a target is cold for some seconds from now on."""
        if self._extend(target, seconds + AFTER_COLD_SECONDS, now, source):
            end = now + min(seconds, MAX_COLD_SECONDS) + AFTER_COLD_SECONDS
            self.own_ends[target] = max(self.own_ends.get(target, end), end)

    def assume_cold(self, target: DirectTarget, now: float, source: str) -> None:
        """Record an event after which a target is cold for its service's cold time."""
        service = self.find_service(target.service)
        if service is not None:
            self.mark_cold(target.name, service.cold_seconds, now, source)

    def note_row(self, target: DirectTarget, now: float) -> None:
        """
        Record the cold time in a row of the list.

        The age of the row is unknown. The time is counted from now on, which is too
        long by the age of the row and never too short.
        """
        if target.warmup_seconds > 0:
            self.mark_cold(target.name, target.warmup_seconds, now, "row")

    def note_response(self, target: str, values: Sequence[str], now: float) -> None:
        """Record the cold time in the head of a response; ignore an invalid one."""
        try:
            seconds = read_cold_time(values)
        except DecodeError as error:
            logger.warning("cold: header of {} ignored: {}", target, error)
            return
        unknown = seconds > self.left(target, now)
        if seconds > 0:
            self.mark_cold(target, seconds, now, "response")
        if unknown and target in self.ends:
            self.stated_ends[target] = self.ends[target]

    def merge(self, target: str, left: float, now: float) -> None:
        """Record for how long another entry bounds the rate of a target."""
        if left > 0:
            self._extend(target, left, now, "entry")

    def is_limited(self, target: str, now: float) -> bool:
        """Return whether attempts at a target need tokens because it is cold."""
        return self.rate(target, now) is not None

    def rate(self, target: str, now: float) -> float | None:
        """Return the requests per second for all entries, ``None`` for no bound."""
        end = self.ends.get(target)
        if end is None:
            return None
        if now >= end:
            self._remove_ended(target)
            return None
        cold_rate = self._cold_rate(target)
        if cold_rate <= 0:
            return None
        return cold_rate * (
            1.0 if now < end - AFTER_COLD_SECONDS else AFTER_COLD_FACTOR
        )

    def left(self, target: str, now: float) -> float:
        """Return for how many seconds the rate of a target is bounded."""
        return max(self.ends.get(target, now) - now, 0.0)

    def own_left(self, target: str, now: float) -> float:
        """Return the part of ``left`` that this entry did not learn from another."""
        return max(self.own_ends.get(target, now) - now, 0.0)

    def note_no_issuer(self, target: str, seconds: float, now: float) -> None:
        """Record that no issuer was reached: the target gets nothing for some time."""
        if self.without_issuer_until.get(target, now) <= now:
            logger.info("cold: no entry issues tokens for {}, it is not used", target)
        self.without_issuer_until[target] = now + seconds

    def is_without_issuer(self, target: str, now: float) -> bool:
        """Return whether this entry sends nothing to a cold target for now."""
        return self.without_issuer_until.get(target, now) > now and self.is_limited(
            target, now
        )

    def report(self, now: float) -> dict[str, float]:
        """
        Return for how long targets are bounded, to report it to other entries.

        Only times that a response stated before any other source are included: the
        other entries know the rows and the events themselves.
        """
        if not self.stated_ends:
            return {}
        left = {name: round(end - now, 3) for name, end in self.stated_ends.items()}
        return {name: seconds for name, seconds in left.items() if seconds > 0}

    def seconds_left(self, now: float) -> dict[str, float]:
        """Return for how long the rate of each target is still bounded."""
        names = [name for name in list(self.ends) if self.is_limited(name, now)]
        return {name: round(self.left(name, now), 3) for name in names}

    def retain(self, targets: Container[str]) -> None:
        """Forget all targets except the given ones."""
        for times in self._times():
            for name in [name for name in times if name not in targets]:
                del times[name]

    def _extend(self, target: str, left: float, now: float, source: str) -> bool:
        """
        Bound the rate of a target for at least ``left`` seconds from now.

        Return ``False`` for unknown targets and for services without a bound, of which
        nothing is kept.
        """
        known = self.find_target(target)
        service = None if known is None else self.find_service(known.service)
        if known is None or (service is not None and service.cold_rate <= 0):
            return False
        left = min(left, MAX_COLD_SECONDS + AFTER_COLD_SECONDS)
        previous = self.ends.get(target, now)
        if previous <= now:
            self._note_cold(target, left, source)
        self.ends[target] = max(previous, now + left)
        return True

    def _note_cold(self, target: str, left: float, source: str) -> None:
        self.metrics.cold_reports.labels(source).inc()
        logger.info(
            "cold: {} is cold, bounded for {:.1f} s, source: {}", target, left, source
        )

    def _remove_ended(self, target: str) -> None:
        logger.info("cold: {} is warm", target)
        for times in self._times():
            times.pop(target, None)

    def _times(self) -> tuple[dict[str, float], ...]:
        return self.ends, self.own_ends, self.stated_ends, self.without_issuer_until

    def _cold_rate(self, target: str) -> float:
        """Return the cold rate of a target's service, 0.0 if there is no bound."""
        known = self.find_target(target)
        service = None if known is None else self.find_service(known.service)
        return 0.0 if service is None else service.cold_rate
