"""Connections of a channel, which are reset if a call on them is abandoned."""

import os
import socket
import struct
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import anyio
import httpcore

from briarthread_common.core.exceptions import (
    BrokenCallError,
    ForeignResponseError,
    RequestNotSentError,
    UnreadBytesError,
)
from briarthread_common.http.response_bounds import HEAD_READ_BYTES, ResponseBounds

RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
"""Socket option with which a close discards undelivered bytes."""
GRACEFUL_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 0, 0))
"""Socket option with which a close still delivers them."""
RECEIVE_BYTES = 1024 * 1024
"""Bytes that are taken from a stream at a time, more than an event loop reads at a
time, so that no part of a read is left."""
FULL_READ_BYTES = 256_000
"""Bytes that uvloop reads at a time. After a full read it reads on at once, and the
stream may keep what came."""


class CallConnection(httpcore.AsyncNetworkStream):
    """
    Carry one call at a time; closing it during a call resets the connection.

    After a graceful close the kernel still delivers a request that its target has not
    read, so the target would work on it although nobody waits for the response. The
    kernel also resets the connection if the process ends during a call. ``bounds`` are
    those of the current response, ``calls`` is the number of calls with the current
    one; ``unread`` are bytes that were received and not read yet; ``ended`` is true
    once the target has closed the connection. ``on_surplus`` is called for bytes that
    no call asked for and that came later than the response before them.
    """

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, on_surplus: Callable[[], None]
    ) -> None:
        self.stream = stream
        self.on_surplus = on_surplus
        self.socket: socket.socket = stream.get_extra_info("socket")
        self.in_call = False
        self.calls = 0
        self.ended = False
        self.bounds = ResponseBounds()
        self.unread = b""
        self.last_read_bytes = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """
        Return received bytes, none at the end of the connection.

        Raise InvalidResponseError if they exceed their bounds, BrokenCallError if the
        connection ends before the head is complete, ForeignResponseError if other bytes
        than a head come first on a connection that has carried other calls.
        """
        self.bounds.check(anyio.current_time())
        if self.bounds.in_head:
            max_bytes = min(max_bytes, HEAD_READ_BYTES)
        if not self.unread:
            self.unread = await self.stream.read(RECEIVE_BYTES, timeout)
            self.last_read_bytes = len(self.unread)
        data, self.unread = self.unread[:max_bytes], self.unread[max_bytes:]
        if not data:
            self.ended = True
            if self.bounds.in_head:
                raise BrokenCallError("the connection ended before the response")
        self.bounds.note_received(data, anyio.current_time())
        is_kept = self.calls > 1
        if is_kept and self.bounds.in_head and self.bounds.has_foreign_bytes():
            raise ForeignResponseError(
                "a response in parts, or not the one to the call"
            )
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """
        Send a part of a request.

        Raise UnreadBytesError if the request is not begun because of bytes that the
        parser would take for its response.
        """
        if not self.in_call:
            if self.calls and self.has_unread():
                raise UnreadBytesError("unread bytes on the connection")
            self.in_call = True
            self.calls += 1
            self.bounds = ResponseBounds()
        await self.stream.write(buffer, timeout)

    async def end_call(self) -> None:
        """Note that the response has been read; close if more bytes may follow it."""
        may_hide_bytes = self.last_read_bytes >= FULL_READ_BYTES
        if may_hide_bytes or self.bounds.has_excess() or self.has_unread():
            await self.aclose()
        self.in_call = False

    def has_unread(self) -> bool:
        """Return whether there are bytes to read, or the end of the connection."""
        if not self.unread and not self._is_readable():
            return False
        if self.unread or _has_bytes(self.socket):
            self.on_surplus()
        return True

    async def aclose(self) -> None:
        """Close the connection; reset it during a call."""
        is_open = self.socket.fileno() >= 0
        if is_open and not self.in_call:
            self.socket.setsockopt(*GRACEFUL_CLOSE)
        await self.stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection; a closed one is readable."""
        if info == "is_readable":
            return self.has_unread()
        try:
            return self.stream.get_extra_info(info)
        except AttributeError:
            return None

    def _is_readable(self) -> bool:
        try:
            return self.stream.get_extra_info("is_readable")
        except AttributeError:
            # The stream of a closed connection has no socket to ask.
            return True


class CallBackend(httpcore.AnyIOBackend):
    """
    Open the connections of a channel's pools; ``on_opened`` is called for each.

    ``on_surplus`` is called with the address of a target that has sent bytes that no
    call asked for.
    """

    def __init__(
        self, on_opened: Callable[[], None], on_surplus: Callable[[str], None]
    ) -> None:
        self.on_opened = on_opened
        self.on_surplus = on_surplus

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
            address = f"{host}:{port}"
            connection = CallConnection(stream, partial(self.on_surplus, address))
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


def _has_bytes(connection: socket.socket) -> bool:
    """Return whether a readable socket has bytes, without reading them."""
    try:
        with socket.socket(fileno=os.dup(connection.fileno())) as duplicate:
            return bool(duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
