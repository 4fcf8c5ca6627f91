"""Peers that failed recently and are skipped for a period."""

from collections.abc import Iterable

import anyio


class RecentFailures:
    """
    Remember for some seconds which peers did not answer.

    It is for callers that can use other peers meanwhile, since each call to a
    failed peer takes its full timeout. Times are on the event loop's clock.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.until: dict[str, float] = {}

    def add(self, *names: str) -> None:
        """Record peers that did not answer."""
        until = anyio.current_time() + self.seconds
        self.until |= dict.fromkeys(names, until)

    def without_recent(self, names: Iterable[str]) -> list[str]:
        """Return the names without those that failed recently, in the same order."""
        now = anyio.current_time()
        return [name for name in names if self.until.get(name, now) <= now]
