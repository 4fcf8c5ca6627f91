"""Detection of pauses of the process."""

import anyio

from briarthread_common.utils.clock import Clock

TICK_INTERVAL = 0.25
"""Seconds between two ticks."""
FREEZE_THRESHOLD = 1.5
"""Seconds without a tick after which the process counts as frozen."""


class FreezeDetector:
    """
    Detect whether the process was frozen since its shares were last confirmed.

    Other agents may have taken over its shares during a freeze. The check does not
    depend on the clocks of other machines.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_tick = clock.now()
        self.freeze_detected = False

    def check(self) -> bool:
        """Return whether there was a freeze that is not cleared yet."""
        if self.clock.now() - self.last_tick > FREEZE_THRESHOLD:
            self.freeze_detected = True
        return self.freeze_detected

    def clear(self) -> None:
        """Reset the detector once the shares are confirmed."""
        self.freeze_detected = False
        self.last_tick = self.clock.now()

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.check()
            self.last_tick = self.clock.now()
            await anyio.sleep(TICK_INTERVAL)
