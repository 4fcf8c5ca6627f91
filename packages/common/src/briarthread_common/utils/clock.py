"""Unix time that follows the clock of the runtime."""

import time
from dataclasses import dataclass

import anyio


@dataclass(frozen=True)
class Clock:
    """
    Give Unix time in seconds, derived from the clock of the runtime.

    Deadlines travel between machines as Unix time. Reading it through the
    runtime's clock lets a test pause and advance it; ``offset`` is the
    difference between the two, in seconds, taken once at start.
    """

    offset: float = 0.0

    @classmethod
    def from_system(cls) -> "Clock":
        """Build a clock that agrees with the system's time of day now."""
        return cls(offset=time.time() - anyio.current_time())

    def now(self) -> float:
        """Return the Unix time in seconds."""
        return anyio.current_time() + self.offset
