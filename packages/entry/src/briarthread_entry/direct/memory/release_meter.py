"""Rate at which held bytes are released."""

import math
from collections import deque

WINDOW_SECONDS = 4.0
"""Time over which released bytes are counted, about as long as requests take."""
SLOT_SECONDS = 0.1
"""Releases within a slot are counted together, which bounds the number of entries."""


class ReleaseMeter:
    """
    Count released bytes and estimate how long the release of further ones takes.

    >>> meter = ReleaseMeter()
    >>> meter.note(1000, now=10.0)
    >>> meter.seconds_until(500, now=10.5), meter.seconds_until(500, now=20.0)
    (2.0, inf)
    """

    def __init__(self) -> None:
        self.slots: deque[tuple[float, int]] = deque()

    def note(self, size: int, now: float) -> None:
        """Count released bytes."""
        if self.slots and now - self.slots[-1][0] < SLOT_SECONDS:
            started, counted = self.slots.pop()
            self.slots.append((started, counted + size))
        else:
            self.slots.append((now, size))
        self._discard_old(now)

    def seconds_until(self, size: int, now: float) -> float:
        """Return the expected seconds until ``size`` bytes are released."""
        self._discard_old(now)
        released = sum(counted for _, counted in self.slots)
        return size * WINDOW_SECONDS / released if released else math.inf

    def _discard_old(self, now: float) -> None:
        while self.slots and now - self.slots[0][0] > WINDOW_SECONDS:
            self.slots.popleft()
