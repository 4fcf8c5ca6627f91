"""How a channel keeps its connections."""

import socket
from dataclasses import dataclass

KEEPALIVE_PROBE_SECONDS = 1
"""Pause before and between keep-alive probes of the kernel."""
KEEPALIVE_PROBES = 2


@dataclass(frozen=True, slots=True)
class ChannelOptions:
    """
    Bound the connections to one address; times are in seconds.

    ``user_timeout_seconds`` is how long the kernel goes on sending to a peer that
    does not acknowledge; it is the only sign of a path that was cut. 0
    leaves the kernel's own limit, which is many minutes.
    """

    connect_timeout: float = 1.0
    keepalive_seconds: float = 30.0
    max_connections: int = 1000
    max_idle: int = 20
    user_timeout_seconds: float = 0.0

    def socket_options(self) -> list[tuple[int, int, int]]:
        """Return the options that make a dead path show itself."""
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
