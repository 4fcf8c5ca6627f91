"""
Bound on the connections of callers.

A balancer may hand most new connections of all callers to one process for a while, and
callers keep connections open after their responses. Each request that was read needs
another socket to a target. If callers' connections took all sockets, the process would
read requests that it cannot send.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

RESERVED_FILES = 200
"""Open files of a process that are kept for anything but sockets."""
CALLERS_SHARE = 0.5
"""Fraction of the sockets that callers' connections may take: each of them may need one
more to a target."""
KEPT_SHARE = 0.5
"""Fraction of the callers' connections above which none is kept open after a response,
so that idle ones leave room for new ones."""


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """
    Numbers of connections of callers.

    Above ``kept`` open ones a connection is closed after its response; ``most`` may be
    open at the same time.
    """

    kept: float = math.inf
    most: float = math.inf

    @classmethod
    def of_files(cls, max_files: float) -> "ConnectionBounds":
        """
        Return the bounds for a process that may open so many files, 0 for any number.

        >>> ConnectionBounds.of_files(4100)
        ConnectionBounds(kept=975.0, most=1950.0)
        """
        if not max_files:
            return cls()
        most = max((max_files - RESERVED_FILES) * CALLERS_SHARE, 1.0)
        return cls(most * KEPT_SHARE, most)


class CallerConnections:
    """
    Count the connections to the address for callers.

    ``on_rejected`` is called for each connection that is rejected.

    >>> connections = CallerConnections(ConnectionBounds(kept=1, most=2), port=80)
    >>> [connections.open() for _ in range(3)], connections.is_crowded()
    ([True, True, False], True)
    """

    def __init__(self, bounds: ConnectionBounds, port: int) -> None:
        self.bounds = bounds
        self.port = port
        self.count = 0
        self.is_full = False
        self.on_rejected: Callable[[], None] = _ignore

    def open(self) -> bool:
        """Count a new connection; return false if it has to be rejected."""
        if self.rejects():
            if not self.is_full:
                logger.warning("callers: all {} connections are open", self.count)
            self.is_full = True
            self.on_rejected()
            return False
        self.is_full = False
        self.count += 1
        return True

    def close(self) -> None:
        """Stop counting a connection that was open."""
        self.count -= 1

    def rejects(self) -> bool:
        """Return whether a new connection would be rejected now."""
        return self.count >= self.bounds.most

    def is_crowded(self) -> bool:
        """Return whether connections are to be closed after their responses."""
        return self.count > self.bounds.kept


def _ignore() -> None:
    """Ignore a rejected connection."""
