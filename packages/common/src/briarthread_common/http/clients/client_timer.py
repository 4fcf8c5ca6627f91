"""Timer of what a client has begun."""

import asyncio
from collections.abc import Callable

from briarthread_common.http.clients.client_bounds import ClientBounds
from briarthread_common.http.clients.client_refusal import ClientRefusal


class ClientTimer:
    """
    Refuse a client that takes too long, with the reason that the timer was started for.

    Starting it for the reason that it runs for changes nothing, so that a client gains
    no time by sending a little. Times are read from the bounds when they begin.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.reason: ClientRefusal | None = None
        self.handle: asyncio.TimerHandle | None = None

    def start(
        self,
        reason: ClientRefusal,
        bounds: ClientBounds,
        refuse: Callable[[ClientRefusal], None],
    ) -> None:
        """Start the timer, unless it runs for the same reason."""
        if reason is self.reason:
            return
        self.stop()
        self.reason = reason
        self.handle = self.loop.call_later(bounds.seconds(reason), refuse, reason)

    def stop(self) -> None:
        """Stop the timer if it runs."""
        self.reason = None
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
