"""Connections of a channel, which are reset if a call on them is abandoned."""

import socket
import struct
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import httpcore

from briarthread_common.core.exceptions import BrokenCallError, RequestNotSentError
from briarthread_common.http.response_bounds import HEAD_READ_BYTES, ResponseBounds

RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
"""Socket option with which a close discards undelivered bytes."""
GRACEFUL_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 0, 0))
"""Socket option with which a close still delivers them."""


class CallConnection(httpcore.AsyncNetworkStream):
    """
    Carry one call at a time; closing it during a call resets the connection.

    After a graceful close the kernel still delivers a request that its target has not
    read, so the target would work on it although nobody waits for the response. The
    kernel also resets the connection if the process ends during a call. ``bounds`` are
    those of the current response, ``calls`` is the number of calls with the current
    one; ``ended`` is true once the target has closed the connection.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self.stream = stream
        self.socket: socket.socket = stream.get_extra_info("socket")
        self.in_call = False
        self.calls = 0
        self.ended = False
        self.bounds = ResponseBounds()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """
        Return received bytes, none at the end of the connection.

        Raise InvalidResponseError if they exceed their bounds, BrokenCallError if the
        connection ends before the head is complete.
        """
        self.bounds.check(anyio.current_time())
        if self.bounds.in_head:
            max_bytes = min(max_bytes, HEAD_READ_BYTES)
        data = await self.stream.read(max_bytes, timeout)
        if not data:
            self.ended = True
            if self.bounds.in_head:
                raise BrokenCallError("the connection ended before the response")
        self.bounds.note_received(data, anyio.current_time())
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send a part of a request."""
        if not self.in_call:
            self.in_call = True
            self.calls += 1
            self.bounds = ResponseBounds()
        await self.stream.write(buffer, timeout)

    async def end_call(self) -> None:
        """Note that the response has been read; close if more bytes follow it."""
        if self.bounds.has_excess() or self.get_extra_info("is_readable"):
            await self.aclose()
        self.in_call = False

    async def aclose(self) -> None:
        """Close the connection; reset it during a call."""
        is_open = self.socket.fileno() >= 0
        if is_open and not self.in_call:
            self.socket.setsockopt(*GRACEFUL_CLOSE)
        await self.stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection; a closed one is readable."""
        try:
            return self.stream.get_extra_info(info)
        except AttributeError:
            # The stream of a closed connection has no socket to ask.
            return True if info == "is_readable" else None


class CallBackend(httpcore.AnyIOBackend):
    """Open the connections of a channel's pools; ``on_opened`` is called for each."""

    def __init__(self, on_opened: Callable[[], None]) -> None:
        self.on_opened = on_opened

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> CallConnection:
        """
        Return a new connection to a host and port.

        Raise RequestNotSentError if it was closed before its options could be set. It
        was accepted, so it does not count as refused.
        """
        stream = await super().connect_tcp(host, port, timeout, local_address)
        try:
            connection = CallConnection(stream)
            for option in (*(socket_options or ()), RESET_ON_CLOSE):
                connection.socket.setsockopt(*option)
        except (OSError, AttributeError) as error:
            # The stream of a closed connection has no socket to ask.
            await stream.aclose()
            raise RequestNotSentError(
                f"{host}:{port} closed the connection at once: {error}"
            ) from error
        self.on_opened()
        return connection
