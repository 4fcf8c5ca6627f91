"""Those who did not answer lately, and are left alone for a while."""

from collections.abc import Iterable

import anyio


class RecentFailures:
    """
    Remember for some seconds who did not answer.

    It is for callers that have others to turn to meanwhile: each call to one that
    is gone takes its whole time to fail. Times are the runtime's.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.until: dict[str, float] = {}

    def add(self, *names: str) -> None:
        """Record that some did not answer."""
        until = anyio.current_time() + self.seconds
        self.until |= dict.fromkeys(names, until)

    def without_recent(self, names: Iterable[str]) -> list[str]:
        """Return those of some names that are not passed over, in their order."""
        now = anyio.current_time()
        return [name for name in names if self.until.get(name, now) <= now]
