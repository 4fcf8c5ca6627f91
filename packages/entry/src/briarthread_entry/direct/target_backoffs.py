"""The backoffs that targets have requested from an entry."""

from loguru import logger

from briarthread_common.core.metrics import Metrics


class TargetBackoffs:
    """
    Track the end of each target's backoff.

    A backoff applies only to the entry that received it. Later responses can extend it
    but not shorten it. Times are in seconds on the event loop's clock.

    >>> backoffs = TargetBackoffs(Metrics())
    >>> backoffs.note("t-1", 3.0, now=1.0)
    >>> backoffs.note("t-1", 0.5, now=2.0)
    >>> backoffs.active("t-1", now=3.9), backoffs.active("t-1", now=4.0)
    (True, False)
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.until: dict[str, float] = {}

    def note(self, target: str, seconds: float, now: float) -> None:
        """Record a requested backoff; zero and below mean none."""
        if seconds <= 0:
            return
        self.metrics.backoffs.inc()
        logger.info("backoffs: {} requested a backoff of {:g} s", target, seconds)
        self.until[target] = max(self.until.get(target, 0.0), now + seconds)

    def active(self, target: str, now: float) -> bool:
        """Return whether a target's backoff is in effect."""
        return self.until.get(target, now) > now

    def note_attempt(self, target: str, now: float) -> None:
        """Count and log an attempt that starts during its target's backoff."""
        if self.active(target, now):
            self.metrics.attempts_in_backoff.inc()
            logger.warning(
                "backoffs: attempt to {} starts {:.3f} s before its backoff ends",
                target,
                self.until[target] - now,
            )
