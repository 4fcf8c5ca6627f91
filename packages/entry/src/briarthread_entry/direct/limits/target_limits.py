"""The rate limits that targets state in their responses."""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass

from loguru import logger

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.direct.read_limit import read_limit
from briarthread_common.messages.limit_report import LimitReport

ENDED_REPORT_SECONDS = 10.0
"""Time in seconds for which the end of a limit is reported. All entries receive a
report within one second; an entry that was cut off for longer learns it from its own
responses."""


@dataclass(frozen=True, slots=True)
class KnownLimit:
    """A limit, ``None`` for one that ended, and the time when the target stated it."""

    per_second: float | None
    at: float


class TargetLimits:
    """
    Track the most recent rate limit of each target.

    A limit is in effect from the response that states it to the first response without
    one to a request that was sent later. A response that was in transit when the limit
    was stated does not end it. An entry reports only limits from its own responses:
    a limit that returned through other entries would look newer each time. Times are
    in seconds on the event loop's clock.

    >>> limits = TargetLimits()
    >>> limits.note_response("t-1", "2", sent=1.0, now=1.2)
    >>> limits.note_response("t-1", None, sent=1.1, now=1.3)
    >>> limits.limit_of("t-1")
    2.0
    >>> limits.note_response("t-1", None, sent=1.4, now=1.5)
    >>> limits.limit_of("t-1") is None
    True
    """

    def __init__(self) -> None:
        self.known: dict[str, KnownLimit] = {}
        self.own: dict[str, KnownLimit] = {}

    def limit_of(self, target: str) -> float | None:
        """Return a target's limit in requests per second, ``None`` if it has none."""
        known = self.known.get(target)
        return None if known is None else known.per_second

    def note_response(
        self, target: str, raw: str | None, sent: float, now: float
    ) -> None:
        """Record the limit in a response received now, ``None`` if it states none."""
        if raw is None and self.limit_of(target) is None:
            return
        try:
            limit = read_limit(raw)
        except DecodeError as error:
            logger.warning("limits: kept the known limit of {}: {}", target, error)
            return
        stated = KnownLimit(limit, sent if limit is None else now)
        if self._update(target, stated, "its response"):
            self.own[target] = stated

    def merge(self, source: str, limits: Mapping[str, LimitReport], now: float) -> None:
        """Merge the limits that another entry reported."""
        for target, limit in limits.items():
            self._update(target, KnownLimit(limit.per_second, now - limit.age), source)

    def report(self, now: float) -> dict[str, LimitReport]:
        """Return the limits to report to other entries."""
        return {
            target: LimitReport(own.per_second, round(now - own.at, 3))
            for target, own in self.own.items()
            if own.per_second is not None or now - own.at < ENDED_REPORT_SECONDS
        }

    def latest(self, target: str, now: float) -> LimitReport | None:
        """Return the most recent limit of one target, to send it to another entry."""
        known = self.known.get(target)
        return known and LimitReport(known.per_second, now - known.at)

    def retain(self, targets: Container[str]) -> None:
        """Forget all targets except the given ones."""
        for limits in (self.known, self.own):
            for target in [name for name in limits if name not in targets]:
                del limits[target]

    def discard(self, targets: Iterable[str]) -> None:
        """Forget the given targets."""
        for target in targets:
            self.known.pop(target, None)
            self.own.pop(target, None)

    def _update(self, target: str, stated: KnownLimit, source: str) -> bool:
        known = self.known.get(target)
        if known is not None and stated.at <= known.at:
            return False
        if known is None and stated.per_second is None:
            return False
        self.known[target] = stated
        previous = None if known is None else known.per_second
        if stated.per_second != previous:
            _log_change(target, stated.per_second, source)
            self.own.pop(target, None)
        return True


def _log_change(target: str, limit: float | None, source: str) -> None:
    if limit is None:
        logger.info("limits: {} has no limit any more, according to {}", target, source)
    else:
        logger.info(
            "limits: {} accepts {:g} requests per second, according to {}",
            target,
            limit,
            source,
        )
