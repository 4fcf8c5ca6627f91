"""Unix time derived from the event loop's clock."""

import time
from dataclasses import dataclass

import anyio


@dataclass(frozen=True)
class Clock:
    """
    Return Unix time in seconds, derived from the event loop's clock.

    Deadlines are sent between machines as Unix time. Since it is derived from the
    event loop's clock, tests can pause and advance it. ``offset`` is the
    difference between the two in seconds, measured once at start.
    """

    offset: float = 0.0

    @classmethod
    def from_system(cls) -> "Clock":
        """Return a clock that is synchronised with the system clock now."""
        return cls(offset=time.time() - anyio.current_time())

    def now(self) -> float:
        """Return the Unix time in seconds."""
        return anyio.current_time() + self.offset
