"""Channel that calls over HTTP with httpcore."""

import contextlib
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import httpcore
from loguru import logger

from briarthread_common.core.exceptions import (
    BrokenCallError,
    ConnectionRefused,
    ForeignResponseError,
    InvalidResponseError,
    RequestNotSentError,
    UnreadBytesError,
)
from briarthread_common.http.call_connection import CallBackend, CallConnection
from briarthread_common.http.channel import ChannelRequest, ChannelResponse
from briarthread_common.http.channel_options import ChannelOptions

FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
"""Headers of which a response has one unless its body ends with the connection."""
DISTRUST_SECONDS = 5.0
"""Time in seconds for which connections to an address are not reused after it sent
bytes that no call asked for."""
CHUNKS_PER_TURN = 64
"""Parts of a body after which other tasks run; they may all be in one read."""


class HttpChannel:
    """
    Call other processes, with one connection pool for each address.

    A pool searches all its connections at each call, so with a single pool for
    all addresses the cost of a call would grow with the number of peers.
    An address that sends bytes that no call asked for gets a new connection for each
    call for a while. ``on_opened`` is called for each new connection, ``on_surplus``
    for each time that such bytes are seen.
    """

    def __init__(self, options: ChannelOptions | None = None) -> None:
        self.options = options or ChannelOptions()
        self.on_opened: Callable[[], None] = _ignore
        self.on_surplus: Callable[[], None] = _ignore
        self.pools: dict[tuple[str, bool], httpcore.AsyncConnectionPool] = {}
        self.distrusted_until: dict[str, float] = {}
        self.extensions = {"timeout": {"connect": self.options.connect_timeout}}

    @asynccontextmanager
    async def stream(self, request: ChannelRequest) -> AsyncIterator[ChannelResponse]:
        """Send a call over a pooled connection; see Channel."""
        connection: CallConnection | None = None
        try:
            async with AsyncExitStack() as stack:
                response = await self._begin(stack, request)
                connection = response.extensions["network_stream"]
                yield _read_head(request, response, connection)
        except ForeignResponseError:
            self._note_surplus(request.address)
            raise
        except httpcore.ConnectError as error:
            raise ConnectionRefused(_describe_error(request, error)) from error
        except (httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            raise RequestNotSentError(_describe_error(request, error)) from error
        except httpcore.LocalProtocolError as error:
            # It concerns the head of the request, which is not written then.
            is_sent = connection is not None
            kind = InvalidResponseError if is_sent else RequestNotSentError
            raise kind(_describe_error(request, error)) from error
        except httpcore.ProtocolError as error:
            # Bytes that are no response do not mean that the target has ended.
            is_lost = connection is not None and connection.ended
            kind = BrokenCallError if is_lost else InvalidResponseError
            raise kind(_describe_error(request, error)) from error
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise BrokenCallError(_describe_error(request, error)) from error

    async def close(self) -> None:
        """Close every pool."""
        for pool in self.pools.values():
            await pool.aclose()
        self.pools.clear()

    async def _begin(
        self, stack: AsyncExitStack, request: ChannelRequest
    ) -> httpcore.Response:
        """Send a call and return its response once the head has been read."""
        url, fields = _encode(request)
        while True:
            pool = self._pool(request.address, self._needs_new_connection(request))
            response_context = pool.stream(
                request.method,
                url,
                headers=fields,
                content=request.body,
                extensions=self.extensions,
            )
            with contextlib.suppress(UnreadBytesError):
                return await stack.enter_async_context(response_context)

    def _pool(self, address: str, new_connection: bool) -> httpcore.AsyncConnectionPool:
        pool = self.pools.get((address, new_connection))
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=self.options.max_connections,
                max_keepalive_connections=0
                if new_connection
                else self.options.max_idle,
                keepalive_expiry=self.options.keepalive_seconds,
                socket_options=self.options.socket_options(),
                network_backend=CallBackend(
                    lambda: self.on_opened(), self._note_surplus
                ),
            )
            self.pools[address, new_connection] = pool
        return pool

    def _needs_new_connection(self, request: ChannelRequest) -> bool:
        return request.new_connection or self._is_distrusted(request.address)

    def _is_distrusted(self, address: str) -> bool:
        """Return whether an address has sent bytes that no call asked for."""
        until = self.distrusted_until.get(address)
        if until is None:
            return False
        if anyio.current_time() < until:
            return True
        del self.distrusted_until[address]
        return False

    def _note_surplus(self, address: str) -> None:
        if not self._is_distrusted(address):
            logger.info(
                "channel: {} sent bytes that no call asked for; new connections only "
                "for {:g} s",
                address,
                DISTRUST_SECONDS,
            )
        self.distrusted_until[address] = anyio.current_time() + DISTRUST_SECONDS
        self.on_surplus()


def _read_head(
    request: ChannelRequest, response: httpcore.Response, connection: CallConnection
) -> ChannelResponse:
    """Return a response whose head is complete."""
    fields = _decode_headers(response.headers)
    headers = dict(fields)
    connection.bounds.end_head(anyio.current_time(), request.method != "HEAD")
    return ChannelResponse(
        response.status,
        headers,
        _body(response, connection),
        fields,
        FRAMING_HEADERS.isdisjoint(headers),
        connection.calls,
    )


def _encode(
    request: ChannelRequest,
) -> tuple[httpcore.URL, list[tuple[bytes, bytes]]]:
    """Return the URL and the headers as bytes, or raise RequestNotSentError."""
    try:
        return _url(request), _headers(request)
    except (TypeError, ValueError) as error:
        raise RequestNotSentError(_describe_error(request, error)) from error


def _url(request: ChannelRequest) -> httpcore.URL:
    """Return the URL; the path is sent with its percent-encoding unchanged."""
    host, _, port = request.address.rpartition(":")
    return httpcore.URL(
        scheme="http", host=host, port=int(port), target=request.path.encode("latin-1")
    )


def _describe_error(request: ChannelRequest, error: Exception) -> str:
    """Describe a failure by its type, since httpcore's errors often have no text."""
    text = f" {error}" if str(error) else ""
    return f"{request.address}: {type(error).__name__}{text}"


def _headers(request: ChannelRequest) -> list[tuple[bytes, bytes]]:
    encoded = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in request.headers]
    if any(name == b"host" for name, _ in encoded):
        return encoded
    return [(b"host", request.address.encode()), *encoded]


def _decode_headers(raw: list[tuple[bytes, bytes]]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in raw
    )


async def _body(
    response: httpcore.Response, connection: CallConnection
) -> AsyncIterator[bytes]:
    """Yield the parts of a body; let other tasks run while many come at once."""
    number = 0
    async for chunk in response.aiter_stream():
        number += 1
        connection.bounds.note_chunk(len(chunk), anyio.current_time())
        if number % CHUNKS_PER_TURN == 0:
            await anyio.lowlevel.checkpoint()
        yield chunk
    await connection.end_call()


def _ignore() -> None:
    """Ignore what happened on a connection."""
