"""Connections of callers and peers, as the HTTP server handles them."""

import asyncio

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from briarthread_common.http.call import EMPTY_QUERY, MEMORY_ROOM
from briarthread_common.http.call_connection import RESET_ON_CLOSE
from briarthread_common.http.clients.client_refusal import (
    REFUSAL_ERRORS,
    ClientRefusal,
    build_refusal,
)
from briarthread_common.http.clients.client_timer import ClientTimer
from briarthread_common.http.clients.clients import Clients
from briarthread_common.http.clients.held_share import HeldShare
from briarthread_common.http.clients.message_parts import end_of_part
from briarthread_common.http.clients.read_buffer import ReadBuffer
from briarthread_common.http.clients.request_meter import RequestMeter
from briarthread_common.http.closing_transport import ClosingTransport
from briarthread_common.http.upgrade_offer import head_without_upgrade

MAX_WAITING_BYTES = 16 * 1024
"""Bytes of later requests that are read before the response to an earlier one."""
CONNECT_METHOD = b"CONNECT"
LENGTH_HEADER = b"content-length"


class LimitedProtocol(HttpToolsProtocol):
    """
    A connection whose client is held to the bounds of its address.

    The timeouts are read when they begin. A connection is idle from its start until the
    first byte of a request, and from a response until the next one. If many are open,
    one that has carried no request has only the time of a head. The parser limits
    nothing by itself, so what it is given is counted. A client that exceeds a bound is
    refused, and the connection ends.

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
    part_bytes = 0
    content_bytes = 0
    clients: Clients | None = None
    meter: RequestMeter
    held: HeldShare
    request_timer: ClientTimer
    unread_timer: ClientTimer

    @property
    def timeout_keep_alive(self) -> float:
        """Return the idle timeout in seconds."""
        return self.clients.bounds.idle_seconds

    @timeout_keep_alive.setter
    def timeout_keep_alive(self, seconds: float) -> None:
        pass

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start serving a connection, or reset it if there are too many."""
        transport = ClosingTransport(transport)
        clients: Clients = self.config.clients[transport.get_extra_info("sockname")[1]]
        if not clients.open():
            transport.get_extra_info("socket").setsockopt(*RESET_ON_CLOSE)
            transport.abort()
            return
        self.clients = clients
        self.meter = RequestMeter()
        self.held = HeldShare(clients)
        self.request_timer = ClientTimer(self.loop)
        self.unread_timer = ClientTimer(self.loop)
        transport.set_protocol(ReadBuffer(self))
        super().connection_made(transport)
        clients.note_unused(self)
        self.timeout_keep_alive_task = self.loop.call_later(
            self._first_byte_timeout(), self.timeout_keep_alive_handler
        )

    def _first_byte_timeout(self) -> float:
        """Return the time in seconds within which the first request has to begin."""
        bounds = self.clients.bounds
        return bounds.head_seconds if self.clients.is_crowded() else bounds.idle_seconds

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop serving a connection that has ended."""
        if self.transport is None:
            return
        self._unset_keepalive_if_required()
        self.request_timer.stop()
        self.unread_timer.stop()
        if self.clients is not None:
            self._leave()
        super().connection_lost(exc)

    def make_room(self) -> None:
        """Close this connection, which is unused, in favour of a new one."""
        self.refuse(ClientRefusal.REPLACED)
        self._leave()

    def _leave(self) -> None:
        """Stop being one of the clients."""
        self.clients.note_used(self)
        self.clients.close()
        self.held.release()
        self.clients = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep those that follow an unanswered request."""
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
        data, self.unparsed = self.unparsed, b""
        begin = 0
        while begin < len(data) and self._may_parse():
            end = end_of_part(data, begin, self.body_left)
            self._feed(data[begin:end])
            begin = end
        if self.transport.is_closing():
            return
        self.unparsed = data[begin:]
        if self.unparsed and not (self._hold() and self._may_wait()):
            self.flow.pause_reading()

    def _may_wait(self) -> bool:
        """Return whether more may be read before what has been is parsed."""
        return len(self.unparsed) < MAX_WAITING_BYTES

    def _may_parse(self) -> bool:
        """Return whether the next bytes belong to a request that may begin or go on."""
        is_answered = self.cycle is None or self.cycle.response_complete
        return (self.in_message or is_answered) and not self.transport.is_closing()

    def _feed(self, part: bytes) -> None:
        """Parse a part of a message, and refuse its client if it exceeds a bound."""
        self.part_bytes = len(part)
        if self.body_left is not None:
            self.body_left -= len(part)
        self.content_bytes = 0
        if self.in_head:
            self.meter.head_bytes += len(part)
        meter, was_in_message = self.meter, self.in_message
        is_body = was_in_message and not self.in_head
        self._parse(part)
        if is_body:
            meter.note_body(len(part), self.content_bytes)
        elif not was_in_message and meter is self.meter:
            meter.empty_bytes += len(part)
        if self._check():
            self._limit_time()

    def _check(self) -> bool:
        """Return whether all bounds are kept; refuse the client otherwise."""
        refusal = self.meter.fault(self.clients.bounds)
        if refusal is None and not self._hold():
            refusal = ClientRefusal.MEMORY_FULL
        if refusal is not None:
            self.refuse(refusal)
        return refusal is None

    def _hold(self) -> bool:
        """Return whether what this connection holds now fits, and count it then."""
        return self.held.hold(self._size())

    def _size(self) -> int:
        """Return about how much memory this connection takes."""
        size = self.meter.held_bytes(self.clients.bounds.counts_bodies)
        return size + len(self.unparsed) + self.transport.get_write_buffer_size()

    def refuse(self, refusal: ClientRefusal) -> None:
        """Refuse what the client sends, and close the connection."""
        if self.transport.is_closing():
            return
        self.clients.note_refused(refusal)
        error = REFUSAL_ERRORS.get(refusal)
        if error is not None and self._may_answer():
            self.transport.write(build_refusal(error))
        self._end_request()
        self.headers = []
        self.transport.close()

    def _may_answer(self) -> bool:
        """Return whether a response may be written that is not the application's."""
        is_body = self.in_message and not self.in_head
        return not (is_body and self.cycle.response_started)

    def _end_request(self) -> None:
        """Tell the application that the client of a request has gone."""
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.disconnected = True
            self.cycle.message_event.set()

    def _limit_time(self) -> None:
        """Limit the time of the head or the body that has begun."""
        if not self.in_message:
            self.request_timer.stop()
            return
        is_head = self.in_head
        slow = ClientRefusal.HEAD_TOO_SLOW if is_head else ClientRefusal.BODY_TOO_SLOW
        self.request_timer.start(slow, self.clients.bounds, self.refuse)

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.refuse(ClientRefusal.MALFORMED)
        except httptools.HttpParserUpgrade as upgrade:
            method = self.parser.get_method()
            if method == CONNECT_METHOD:
                self.refuse(ClientRefusal.TUNNEL)
                return
            (parsed,) = upgrade.args
            version = self.parser.get_http_version()
            head = head_without_upgrade(method, self.url, version, self.headers)
            self.parser = httptools.HttpRequestParser(self)
            self._parse(head + data[parsed:])

    def pause_writing(self) -> None:
        """Send no more until the client has read; it has the idle timeout for that."""
        super().pause_writing()
        if self.clients is not None:
            self.unread_timer.start(
                ClientRefusal.UNREAD, self.clients.bounds, self._drop_unread
            )
            self.held.note(self._size())

    def resume_writing(self) -> None:
        """Send more to a client that has read."""
        super().resume_writing()
        if self.clients is not None:
            self.unread_timer.stop()
            self.held.note(self._size())

    def _drop_unread(self, reason: ClientRefusal) -> None:
        """End the connection of a client that has stopped reading."""
        self.refuse(reason)
        self.transport.abort()

    def on_message_begin(self) -> None:
        """Reset the counters at the start of a request."""
        self._unset_keepalive_if_required()
        self.in_message = self.in_head = True
        if self.offers_upgrade:
            self.meter.fields = 0
        else:
            self.meter = RequestMeter(head_bytes=self.part_bytes)
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Begin the request, unless it exceeds a bound or offers another protocol."""
        self.offers_upgrade = self.parser.should_upgrade()
        if self._check() and not self.offers_upgrade:
            self.body_left = self._stated_length()
            self.scope[EMPTY_QUERY] = self.url.endswith(b"?")
            self.scope[MEMORY_ROOM] = self.clients.room
            super().on_headers_complete()
            self.in_head = False
            self.clients.note_used(self)

    def _stated_length(self) -> int | None:
        """Return the length of the body if the head states it, as the parser did."""
        lengths = [value for name, value in self.headers if name == LENGTH_HEADER]
        return int(lengths[0]) if lengths else None

    def on_message_complete(self) -> None:
        """End the body of a request."""
        if not (self.offers_upgrade or self.transport.is_closing()):
            self.in_message = False
            self.body_left = None
            super().on_message_complete()
            if self.cycle.response_complete:
                self.meter = RequestMeter()

    def on_response_complete(self) -> None:
        """Drop what was kept of the request, and go on with what came after it."""
        super().on_response_complete()
        self._forget()
        if not self.transport.is_closing():
            self._hold()
            self._parse_received()

    def _forget(self) -> None:
        """Keep nothing of a request that has been answered."""
        self.headers = []
        self.cycle.body = bytearray()
        self.scope = self.cycle.scope = {}
        if self.in_message:
            self.meter.note_answered()
        else:
            self.meter = RequestMeter()

    def on_body(self, body: bytes) -> None:
        """Take a part of a body."""
        self.content_bytes += len(body)
        super().on_body(body)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; the fields of a trailer are not used."""
        if self.in_head:
            self.meter.fields += 1
            super().on_header(name, value)
