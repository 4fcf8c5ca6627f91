"""Connections of callers and peers, as the HTTP server handles them."""

import asyncio

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from briarthread_common.http.call import EMPTY_QUERY
from briarthread_common.http.call_connection import RESET_ON_CLOSE
from briarthread_common.http.caller_connections import CallerConnections
from briarthread_common.http.clients.message_parts import end_of_part
from briarthread_common.http.clients.read_buffer import ReadBuffer
from briarthread_common.http.closing_transport import ClosingTransport
from briarthread_common.http.upgrade_offer import without_upgrade

MAX_HEADER_BYTES = 32 * 1024
MAX_WAITING_BYTES = 16 * 1024
"""Bytes of later requests that are read before the response to an earlier one."""
CONNECT_METHOD = b"CONNECT"
LENGTH_HEADER = b"content-length"


class _HeadTooLarge(Exception):  # noqa: N818
    """The head of a request exceeds MAX_HEADER_BYTES."""


class LimitedProtocol(HttpToolsProtocol):
    """
    A connection with limits on a request's head and on the time that a client takes.

    The timeouts are read from the configuration when they begin. A connection is idle
    from its start until the first byte of a request, and from a response until the
    next one. If many are open, one that has carried no request has only the time of a
    head. The parser limits nothing by itself, so the bytes of a head are counted as
    they arrive; too many of them end the connection with the response to a malformed
    request.

    What follows a request is parsed once its response is complete. Until then it is
    kept as received, and reading stops at MAX_WAITING_BYTES.

    No other protocol is spoken. The parser ends a request that offers one at its head,
    so that its body would be read as the next request; such a request is parsed again
    without the offer.
    """

    offers_upgrade = False
    in_message = False
    in_head = False
    body_left: int | None = None
    unparsed = b""
    head_bytes = 0
    incomplete_head_bytes = 0
    is_counted = False
    head_timer: asyncio.TimerHandle | None = None

    @property
    def timeout_keep_alive(self) -> float:
        """Return the idle timeout in seconds."""
        return self.config.timeout_keep_alive

    @timeout_keep_alive.setter
    def timeout_keep_alive(self, seconds: float) -> None:
        pass

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start serving a connection, or reset it if there are too many."""
        if not self._is_accepted(transport):
            transport.get_extra_info("socket").setsockopt(*RESET_ON_CLOSE)
            transport.abort()
            return
        transport.set_protocol(ReadBuffer(self))
        super().connection_made(transport)
        self.timeout_keep_alive_task = self.loop.call_later(
            self._first_byte_timeout(), self.timeout_keep_alive_handler
        )

    def _first_byte_timeout(self) -> float:
        """Return the time in seconds within which the first request has to begin."""
        connections: CallerConnections | None = self.config.caller_connections
        is_crowded = self.is_counted and connections.is_crowded()
        return self.config.head_timeout if is_crowded else self.timeout_keep_alive

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop serving a connection that has ended."""
        self._unset_keepalive_if_required()
        self._stop_head_timer()
        if self.is_counted:
            self.is_counted = False
            self.config.caller_connections.close()
        super().connection_lost(exc)

    def _is_accepted(self, transport: asyncio.Transport) -> bool:
        connections: CallerConnections | None = self.config.caller_connections
        port = transport.get_extra_info("sockname")[1]
        if connections is None or port != connections.port:
            return True
        self.is_counted = connections.open()
        return self.is_counted

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep those that follow an unanswered request."""
        self._unset_keepalive_if_required()
        self.unparsed += data
        self._parse_received()

    def yield_reading(self) -> None:
        """Let the other connections be served before more is read from this one."""
        if not self.transport.is_closing():
            self.transport.pause_reading()
            self.loop.call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        if not (self.transport.is_closing() or self.flow.read_paused):
            self.transport.resume_reading()

    def _parse_received(self) -> None:
        """Parse what has been received, as far as it may be parsed now."""
        data, begin = self.unparsed, 0
        while begin < len(data) and self._may_parse():
            end = end_of_part(data, begin, self.body_left)
            self._feed(data[begin:end])
            begin = end
        self.unparsed = b"" if self.transport.is_closing() else data[begin:]
        if len(self.unparsed) >= MAX_WAITING_BYTES:
            self.flow.pause_reading()

    def _may_parse(self) -> bool:
        """Return whether the next bytes belong to a request that may begin or go on."""
        if self.transport.is_closing():
            return False
        is_answered = self.cycle is None or self.cycle.response_complete
        return self.in_message or is_answered

    def _feed(self, part: bytes) -> None:
        """Parse a part of a message; reject a head that is too large and incomplete."""
        if self.body_left is not None:
            self.body_left -= len(part)
        self._parse(part)
        if self.in_head:
            self._start_head_timer()
            self.incomplete_head_bytes += len(part)
            if self.incomplete_head_bytes > MAX_HEADER_BYTES:
                self.send_400_response("The head of the request is too large.")

    def _start_head_timer(self) -> None:
        """Close the connection unless the head is complete in time."""
        if self.head_timer is None:
            self.head_timer = self.loop.call_later(
                self.config.head_timeout, self._end_slow_head
            )

    def _end_slow_head(self) -> None:
        """Close the connection."""
        self.head_timer = None
        self.transport.close()

    def _stop_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")
        except httptools.HttpParserUpgrade as upgrade:
            if self.parser.get_method() == CONNECT_METHOD:
                self.send_400_response("Tunnels are not supported.")
                return
            (parsed,) = upgrade.args
            head = self._head_without_upgrade()
            self.parser = httptools.HttpRequestParser(self)
            self._parse(head + data[parsed:])

    def _head_without_upgrade(self) -> bytes:
        """Return the head of the request as if it offered no other protocol."""
        version = self.parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (self.parser.get_method(), self.url, version)]
        lines += [b"%s: %s" % field for field in without_upgrade(self.headers)]
        return b"\r\n".join([*lines, b"", b""])

    def on_message_begin(self) -> None:
        """Reset the counters at the start of a request."""
        self._unset_keepalive_if_required()
        self.in_message = self.in_head = True
        self.head_bytes = self.incomplete_head_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Note that the head is complete; begin the request unless it offers more."""
        self.in_head = False
        self._stop_head_timer()
        self.offers_upgrade = self.parser.should_upgrade()
        if not self.offers_upgrade:
            self.body_left = self._stated_length()
            self.scope[EMPTY_QUERY] = self.url.endswith(b"?")
            super().on_headers_complete()

    def _stated_length(self) -> int | None:
        """Return the length of the body if the head states it, as the parser did."""
        lengths = [value for name, value in self.headers if name == LENGTH_HEADER]
        return int(lengths[0]) if lengths else None

    def on_message_complete(self) -> None:
        """End the body of a request."""
        if not self.offers_upgrade:
            self.in_message = False
            self.body_left = None
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Go on with what was received in the meantime."""
        super().on_response_complete()
        self._parse_received()

    def on_url(self, url: bytes) -> None:
        """Count the bytes of a part of the request target."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the bytes of a header."""
        self._count(len(name) + len(value))
        super().on_header(name, value)

    def _count(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MAX_HEADER_BYTES:
            raise _HeadTooLarge


class UnreadDroppingProtocol(LimitedProtocol):
    """A connection that does not stay open for a client that has stopped reading."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start serving a connection."""
        super().connection_made(ClosingTransport(transport))

    def on_response_complete(self) -> None:
        """Drop what was received of a body that the response did not wait for."""
        if self.cycle.response_complete:
            self.cycle.body = bytearray()
        super().on_response_complete()
