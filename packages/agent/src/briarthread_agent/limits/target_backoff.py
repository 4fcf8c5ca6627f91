"""The backoff that the agent's target has requested."""

import anyio
from loguru import logger

from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.response_signals import ResponseSignals
from briarthread_common.utils.backoff import Backoff


class TargetBackoff:
    """
    Track the target's backoff and the slow start after it.

    ``extended`` is set, and replaced by a new event, whenever the target requests a
    backoff. Times are in seconds on the event loop's clock.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.backoff: Backoff | None = None
        self.extended = anyio.Event()

    def note_response(self, notice: ResponseSignals) -> None:
        """Record the signals in the head of a response."""
        now = anyio.current_time()
        if notice.backoff > 0:
            self._extend(now, notice.backoff)
        elif self.backoff is not None and not notice.failed:
            self.backoff.note_success(now)
            if self.backoff.finished():
                self.backoff = None

    def seconds_left(self) -> float:
        """Return the remaining backoff, 0.0 if none is in effect."""
        if self.backoff is None:
            return 0.0
        return max(self.backoff.opens_at - anyio.current_time(), 0.0)

    def usable_slots(self, slots: int) -> int:
        """Return how many of ``slots`` attempts may run at once."""
        if self.backoff is None:
            return slots
        return 0 if self.seconds_left() > 0 else min(self.backoff.allowed, slots)

    def _extend(self, now: float, seconds: float) -> None:
        self.metrics.backoffs.inc()
        logger.info("backoffs: the target requested a backoff of {:g} s", seconds)
        self.backoff = self.backoff or Backoff()
        self.backoff.extend(now + seconds, now + seconds)
        extended, self.extended = self.extended, anyio.Event()
        extended.set()
