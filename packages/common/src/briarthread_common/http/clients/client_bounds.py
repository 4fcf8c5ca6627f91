"""Bounds on what the clients of one address may make a process hold or do."""

import math
from dataclasses import dataclass

from briarthread_common.http.clients.client_refusal import ClientRefusal

RESERVED_FILES = 200
"""Open files of a process that are kept for anything but sockets."""
KEPT_SHARE = 0.5
"""Fraction of the connections above which none is kept open after a response, so that
idle ones leave room for new ones."""
REQUEST_LINE_BYTES = 8000
"""Bytes of a request line beside the header fields (RFC 9112, 3)."""
MEBIBYTE = 1024 * 1024
FREE_BYTES = 16 * 1024
"""Bytes of a connection that are not counted, so that an ordinary request always fits;
the number of connections bounds their sum."""
EMPTY_LINE_BYTES = 1024
"""Bytes of empty lines before a request; recipients ignore some (RFC 9112, 2.2)."""
BODY_GRACE_SECONDS = 1.0
"""Time in seconds after the idle timeout in which an application may refuse a body
itself."""
FRAMING_SHARE = 8
"""Bytes of framing for each byte of a body; a chunk of one byte has five."""


@dataclass(frozen=True, slots=True)
class ListenerShare:
    """What one address gets of an instance: fractions of its sockets and memory."""

    connections: float
    memory: float


CALLERS_SHARE = ListenerShare(connections=0.5, memory=0.08)
"""Each connection of a caller may need one more to a target. The memory is for heads;
bodies have a budget of their own."""
PROBES_SHARE = ListenerShare(connections=0.05, memory=0.02)
PEERS_SHARE = ListenerShare(connections=0.2, memory=0.08)
ONLY_SHARE = ListenerShare(connections=0.8, memory=0.3)
"""The only address of a process, which opens few connections itself."""


@dataclass(frozen=True, slots=True)
class ClientBounds:
    """
    Bound the clients of one address; sizes are in bytes, times in seconds.

    ``header_bytes`` are those of a head beside its request line, ``body_bytes`` those
    of a body that goes on after its request was answered. Above
    ``kept_connections`` open ones a connection is closed after its response;
    ``connections`` may be open at the same time. ``held_bytes`` is what all of them
    may hold beside FREE_BYTES each; bodies belong to it if ``counts_bodies`` is true.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * MEBIBYTE
    head_seconds: float = 10.0
    idle_seconds: float = 75.0
    kept_connections: float = math.inf
    connections: float = math.inf
    held_bytes: float = math.inf
    counts_bodies: bool = True

    @classmethod
    def of_instance(
        cls, share: ListenerShare, max_files: float, memory_mb: float
    ) -> "ClientBounds":
        """
        Return the bounds for a share of an instance; 0 stands for any number.

        >>> bounds = ClientBounds.of_instance(CALLERS_SHARE, 4100, memory_mb=300)
        >>> bounds.kept_connections, bounds.connections, bounds.held_bytes // MEBIBYTE
        (975.0, 1950.0, 24.0)
        """
        connections, held_bytes = math.inf, math.inf
        if max_files:
            connections = max((max_files - RESERVED_FILES) * share.connections, 1.0)
        if memory_mb:
            held_bytes = memory_mb * MEBIBYTE * share.memory
        return cls(
            kept_connections=connections * KEPT_SHARE,
            connections=connections,
            held_bytes=held_bytes,
        )

    @property
    def head_bytes(self) -> int:
        """Return the largest head of a request."""
        return self.header_bytes + REQUEST_LINE_BYTES

    def seconds(self, reason: ClientRefusal) -> float:
        """Return the time after which a client is refused with a reason."""
        match reason:
            case ClientRefusal.HEAD_TOO_SLOW:
                return self.head_seconds
            case ClientRefusal.BODY_TOO_SLOW:
                return self.idle_seconds + BODY_GRACE_SECONDS
            case _:
                return self.idle_seconds

    def framing_bytes(self, body_bytes: int) -> int:
        """Return the most bytes of chunk sizes, extensions and trailers of a body."""
        return self.header_bytes + FRAMING_SHARE * body_bytes
