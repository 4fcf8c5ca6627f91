"""
The clients of one address, all together.

A balancer may hand most new connections of all callers to one process for a while, and
callers keep connections open after their responses. Each request that was read needs
another socket to a target. If callers' connections took all sockets, the process would
read requests that it cannot send.
"""

from collections.abc import Callable
from typing import Protocol

from briarthread_common.http.clients.client_bounds import (
    FREE_BYTES,
    ONLY_SHARE,
    ClientBounds,
)
from briarthread_common.http.clients.client_refusal import ClientRefusal
from briarthread_common.http.clients.refusal_log import RefusalLog


class UnusedConnection(Protocol):
    """A connection that has not carried a request."""

    def make_room(self) -> None:
        """End, and stop being counted, in favour of a new connection."""
        ...


class Clients:
    """
    Hold the bounds on the clients of an address, and count their connections.

    If all connections are open, the oldest one that has not carried a request is closed
    in favour of a new one, so that clients that send nothing do not keep others away.
    Those that are kept open after a response are half of them at most.
    ``on_refused`` is called with the name and the reason for each client that is
    refused, ``on_rejected`` for each connection that is reset unread.

    >>> clients = Clients("callers", ClientBounds(kept_connections=1, connections=2))
    >>> [clients.open() for _ in range(3)], clients.is_crowded()
    ([True, True, False], True)
    """

    def __init__(
        self,
        name: str = "clients",
        bounds: ClientBounds | None = None,
        on_refused: Callable[[str, str], None] | None = None,
    ) -> None:
        self.name = name
        self.bounds = bounds or ClientBounds()
        self.on_refused = on_refused or _ignore_refusal
        self.count = 0
        self.held = 0
        self.unused: dict[UnusedConnection, None] = {}
        self.log = RefusalLog(name)
        self.on_rejected: Callable[[], None] = _ignore

    @classmethod
    def of_only_address(
        cls,
        name: str,
        max_files: float,
        memory_mb: float,
        on_refused: Callable[[str, str], None],
    ) -> "Clients":
        """Return the clients of a process that listens on one address."""
        bounds = ClientBounds.of_instance(ONLY_SHARE, max_files, memory_mb)
        return cls(name, bounds, on_refused)

    def open(self) -> bool:
        """Count a new connection; return false if it has to be rejected."""
        if self.rejects():
            self.note_refused(ClientRefusal.TOO_MANY_CONNECTIONS)
            self.on_rejected()
            return False
        if self._is_full():
            next(iter(self.unused)).make_room()
        self.count += 1
        return True

    def note_unused(self, connection: UnusedConnection) -> None:
        """Record a connection that was opened last."""
        self.unused[connection] = None

    def note_used(self, connection: UnusedConnection) -> None:
        """Record that a connection has carried a request, or has ended."""
        self.unused.pop(connection, None)

    def close(self) -> None:
        """Stop counting a connection that was open."""
        self.count -= 1

    def hold(self, held: int, size: int) -> bool:
        """
        Count that a connection holds ``size`` bytes in place of ``held``.

        Return false, and count nothing, if that is more and does not fit.

        >>> clients = Clients("callers", ClientBounds(held_bytes=1000))
        >>> clients.hold(0, FREE_BYTES + 900), clients.hold(0, FREE_BYTES + 200)
        (True, False)
        """
        change = _counted(size) - _counted(held)
        if change > 0 and self.held + change > self.bounds.held_bytes:
            return False
        self.held += change
        return True

    def note_held(self, held: int, size: int) -> None:
        """Count that a connection holds ``size`` bytes in place of ``held``."""
        self.held += _counted(size) - _counted(held)

    def room(self) -> float:
        """Return the bytes that may be held in addition."""
        return max(self.bounds.held_bytes - self.held, 0.0)

    def rejects(self) -> bool:
        """Return whether a new connection would be rejected now."""
        return self._is_full() and not self.unused

    def _is_full(self) -> bool:
        return self.count >= self.bounds.connections

    def is_crowded(self) -> bool:
        """Return whether connections are to be closed after their responses."""
        return self.count > self.bounds.kept_connections

    def note_refused(self, refusal: ClientRefusal) -> None:
        """Log and count that a client is refused."""
        self.log.add(refusal)
        self.on_refused(self.name, refusal)


def _counted(size: int) -> int:
    """Return how much of what a connection holds is counted."""
    return max(size - FREE_BYTES, 0)


def _ignore() -> None:
    """Ignore a rejected connection."""


def _ignore_refusal(name: str, reason: str) -> None:
    """Ignore a refused client."""
