"""Signals that arrive while a process starts; it imports next to nothing."""

import signal


class EarlySignals:
    """
    Note a SIGHUP that arrives while the process starts, which would end it.

    >>> early = EarlySignals()
    >>> early.handle(signal.SIGHUP, None)
    >>> early.received
    True
    """

    def __init__(self) -> None:
        self.received = False

    def install(self) -> None:
        """Handle the signal until ``reload_on_signal`` does."""
        signal.signal(signal.SIGHUP, self.handle)

    def handle(self, number: int, frame: object) -> None:
        """Note a signal."""
        self.received = True


EARLY_SIGNALS = EarlySignals()
"""Signals of this process before its settings can be reloaded."""
