"""Log lines about refused clients, bounded in number."""

import time

from loguru import logger

from briarthread_common.http.clients.client_refusal import ClientRefusal

LINE_SECONDS = 1.0
"""Least time in seconds between two lines with the same reason."""


class RefusalLog:
    """Log refused clients of an address; a line stands for all since the last one."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.unlogged: dict[ClientRefusal, int] = {}
        self.logged_at: dict[ClientRefusal, float] = {}

    def add(self, refusal: ClientRefusal) -> None:
        """Record that a client was refused."""
        number = self.unlogged.get(refusal, 0) + 1
        now = time.monotonic()
        if now - self.logged_at.get(refusal, -LINE_SECONDS) < LINE_SECONDS:
            self.unlogged[refusal] = number
            return
        self.unlogged[refusal] = 0
        self.logged_at[refusal] = now
        logger.warning(
            "{}: refused {}, {} since the last line", self.name, refusal, number
        )
