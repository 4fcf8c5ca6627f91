"""Calls over TCP through httpcore."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore

from briarthread_common.core.exceptions import (
    BrokenCallError,
    ConnectionRefused,
    NotWrittenError,
)
from briarthread_common.http.channel import ChannelRequest, ChannelResponse

CONNECT_TIMEOUT = 1.0
KEEPALIVE_SECONDS = 30.0
MAX_CONNECTIONS = 1000
MAX_IDLE = 20
_EXTENSIONS = {"timeout": {"connect": CONNECT_TIMEOUT}}


class HttpChannel:
    """
    Keep one connection pool for each address.

    A pool searches all its connections at each call, so one pool for all
    addresses would cost each call time in proportion to the peers.
    """

    def __init__(self) -> None:
        self.pools: dict[str, httpcore.AsyncConnectionPool] = {}

    @asynccontextmanager
    async def stream(self, request: ChannelRequest) -> AsyncIterator[ChannelResponse]:
        """Send a call over a kept connection; see Channel."""
        opened = self._pool(request.address).stream(
            request.method,
            f"http://{request.address}{request.path}",
            headers=[("host", request.address), *request.headers],
            content=request.body,
            extensions=_EXTENSIONS,
        )
        try:
            async with opened as response:
                yield ChannelResponse(
                    response.status,
                    _decode_headers(response.headers),
                    _body(response),
                )
        except httpcore.ConnectError as error:
            raise ConnectionRefused(f"{request.address}: {error}") from error
        except (httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            raise NotWrittenError(f"{request.address}: {error}") from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise BrokenCallError(f"{request.address}: {error}") from error

    async def close(self) -> None:
        """Close every pool."""
        for pool in self.pools.values():
            await pool.aclose()
        self.pools.clear()

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self.pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_IDLE,
                keepalive_expiry=KEEPALIVE_SECONDS,
            )
            self.pools[address] = pool
        return pool


def _decode_headers(raw: list[tuple[bytes, bytes]]) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in raw
    }


async def _body(response: httpcore.Response) -> AsyncIterator[bytes]:
    async for chunk in response.aiter_stream():
        yield chunk
