"""Connection options of a channel."""

import socket
from dataclasses import dataclass

KEEPALIVE_PROBE_SECONDS = 1
"""Idle time before the first TCP keep-alive probe, and time between probes."""
KEEPALIVE_PROBES = 2
"""Number of unanswered probes after which the kernel closes the connection."""


@dataclass(frozen=True, slots=True)
class ChannelOptions:
    """
    Limit the connections to one address; times are in seconds.

    ``user_timeout_seconds`` is how long the kernel retransmits to a peer that
    doesn't acknowledge, which is the only sign of an interrupted network path.
    0 keeps the kernel's own limit, which is many minutes.
    """

    connect_timeout: float = 1.0
    keepalive_seconds: float = 30.0
    max_connections: int = 1000
    max_idle: int = 20
    user_timeout_seconds: float = 0.0

    def socket_options(self) -> list[tuple[int, int, int]]:
        """Return the socket options that detect an interrupted network path."""
        if not self.user_timeout_seconds:
            return []
        milliseconds = int(self.user_timeout_seconds * 1000)
        return [
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ]
