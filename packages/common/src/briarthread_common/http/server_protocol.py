"""Connections of callers and peers, as the HTTP server handles them."""

import asyncio

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from briarthread_common.http.call import EMPTY_QUERY
from briarthread_common.http.call_connection import RESET_ON_CLOSE
from briarthread_common.http.caller_connections import CallerConnections
from briarthread_common.http.closing_transport import ClosingTransport
from briarthread_common.http.upgrade_offer import without_upgrade

MAX_HEADER_BYTES = 32 * 1024
CONNECT_METHOD = b"CONNECT"


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

    No other protocol is spoken. The parser ends a request that offers one at its head,
    so that its body would be read as the next request; such a request is parsed again
    without the offer.
    """

    offers_upgrade = False
    in_head = False
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
        """Parse received bytes; reject a head that is too large and incomplete."""
        self._unset_keepalive_if_required()
        self._parse(data)
        if self.in_head:
            self._start_head_timer()
            self.incomplete_head_bytes += len(data)
            if self.incomplete_head_bytes > MAX_HEADER_BYTES:
                self.send_400_response("The head of the request is too large.")

    def _start_head_timer(self) -> None:
        """Close the connection unless the head is complete in time."""
        if self.head_timer is None:
            self.head_timer = self.loop.call_later(
                self.config.head_timeout, self._end_slow_head
            )

    def _end_slow_head(self) -> None:
        """Close the connection, but not while an earlier request is being served."""
        self.head_timer = None
        if self.cycle is not None and not self.cycle.response_complete:
            self._start_head_timer()
        else:
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
        self.in_head = True
        self.head_bytes = self.incomplete_head_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Note that the head is complete; begin the request unless it offers more."""
        self.in_head = False
        self._stop_head_timer()
        self.offers_upgrade = self.parser.should_upgrade()
        if not self.offers_upgrade:
            self.scope[EMPTY_QUERY] = self.url.endswith(b"?")
            super().on_headers_complete()

    def on_message_complete(self) -> None:
        """End the body of a request."""
        if not self.offers_upgrade:
            super().on_message_complete()

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
