"""Noticing that the process itself stood still."""

import anyio

from briarthread_common.utils.clock import Clock

TICK_INTERVAL = 0.25
FREEZE_THRESHOLD = 1.5
"""Seconds without a tick after which the process counts as frozen."""


class FreezeDetector:
    """
    Tell whether the process was frozen since its shares were last confirmed.

    While it stood still others may have taken its shares. The check does
    not depend on clocks of other machines.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_tick = clock.now()
        self.freeze_detected = False

    def check(self) -> bool:
        """Tell whether there is a gap that was not yet cleared."""
        if self.clock.now() - self.last_tick > FREEZE_THRESHOLD:
            self.freeze_detected = True
        return self.freeze_detected

    def clear(self) -> None:
        """Note that the shares were confirmed."""
        self.freeze_detected = False
        self.last_tick = self.clock.now()

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.check()
            self.last_tick = self.clock.now()
            await anyio.sleep(TICK_INTERVAL)
