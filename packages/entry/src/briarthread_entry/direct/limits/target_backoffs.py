"""Backoffs that targets have requested from an entry."""

import random
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import anyio
from loguru import logger

from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.response_signals import ResponseSignals
from briarthread_common.utils.backoff import Backoff

JITTER_SHARE = 0.2
"""Maximum jitter as a fraction of the backoff, so that the entries that were refused
together do not return together."""
MAX_JITTER_SECONDS = 2.0
"""Upper bound of the jitter in seconds."""
RECHECK_SECONDS = 0.05
"""Delay in seconds before a target without a free attempt in its slow start is checked
again."""
RETENTION_SECONDS = 60.0
"""Time in seconds for which an expired backoff of an unused target is kept."""


class TargetBackoffs:
    """
    Track the end of each target's backoff and the slow start after it.

    A backoff applies only to the entry that received it. Later responses can extend it
    but not shorten it, and it outlasts the target's absence from the list, though not
    its restart. Times are in seconds on the event loop's clock.

    >>> backoffs = TargetBackoffs(Metrics(), random.Random(1))
    >>> backoffs.note_response("t-1", ResponseSignals(backoff=3.0), now=1.0)
    >>> backoffs.note_response("t-1", ResponseSignals(backoff=0.5), now=2.0)
    >>> backoffs.is_active("t-1", now=3.9), backoffs.is_active("t-1", now=4.0)
    (True, False)
    """

    def __init__(self, metrics: Metrics, rng: random.Random) -> None:
        self.metrics = metrics
        self.rng = rng
        self.backoffs: dict[str, Backoff] = {}

    def note_response(self, target: str, signals: ResponseSignals, now: float) -> None:
        """Update the backoff of a target from the head of a response."""
        if signals.backoff > 0:
            self._extend(target, signals.backoff, now)
            return
        backoff = self.backoffs.get(target)
        if backoff is not None and not signals.failed:
            backoff.note_success(now)
            if backoff.finished():
                del self.backoffs[target]

    def is_active(self, target: str, now: float) -> bool:
        """Return whether a target's backoff is in effect."""
        backoff = self.backoffs.get(target)
        return backoff is not None and now < backoff.until

    def opens_at(self, target: str, now: float) -> float:
        """Return when the next attempt may start, ``now`` if it may start already."""
        backoff = self.backoffs.get(target)
        if backoff is None or backoff.free_attempts(now) > 0:
            return now
        return max(backoff.opens_at, now + RECHECK_SECONDS)

    def free_attempts(self, target: str, now: float) -> int | None:
        """Return how many more attempts may start, ``None`` for no limit."""
        backoff = self.backoffs.get(target)
        return None if backoff is None else backoff.free_attempts(now)

    @contextmanager
    def attempt(self, target: str) -> Iterator[None]:
        """Count an attempt as running while the context lasts."""
        backoff = self.backoffs.get(target)
        if backoff is None:
            yield
            return
        self._note_early(target, backoff)
        backoff.running += 1
        try:
            yield
        finally:
            backoff.running -= 1

    def seconds_left(self, now: float) -> dict[str, float]:
        """Return the remaining backoff of each target that has one in effect."""
        left = {
            name: round(backoff.until - now, 3)
            for name, backoff in self.backoffs.items()
        }
        return {name: seconds for name, seconds in left.items() if seconds > 0}

    def discard(self, targets: Iterable[str]) -> None:
        """Forget the given targets; their running attempts are not counted again."""
        for target in targets:
            self.backoffs.pop(target, None)

    def _extend(self, target: str, seconds: float, now: float) -> None:
        self.metrics.backoffs.inc()
        logger.info("backoffs: {} requested a backoff of {:g} s", target, seconds)
        self._remove_expired(now)
        until = now + seconds
        jitter = min(seconds * JITTER_SHARE, MAX_JITTER_SECONDS) * self.rng.random()
        self.backoffs.setdefault(target, Backoff()).extend(until, until + jitter)

    def _remove_expired(self, now: float) -> None:
        for name, backoff in list(self.backoffs.items()):
            if backoff.opens_at + RETENTION_SECONDS < now and not backoff.running:
                del self.backoffs[name]

    def _note_early(self, target: str, backoff: Backoff) -> None:
        """Count and log an attempt that starts during its target's backoff."""
        early = backoff.until - anyio.current_time()
        if early > 0:
            self.metrics.attempts_in_backoff.inc()
            logger.warning(
                "backoffs: attempt to {} starts {:.3f} s before its backoff ends",
                target,
                early,
            )
