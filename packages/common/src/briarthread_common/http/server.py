"""HTTP server of a process, based on uvicorn."""

import contextlib
import logging
import signal
import socket
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from dataclasses import replace
from typing import Any

import anyio
import uvicorn
from loguru import logger

from briarthread_common.core.exceptions import ListenError
from briarthread_common.http.clients.clients import Clients
from briarthread_common.http.server_protocol import LimitedProtocol

BACKLOG = 2048
UVICORN_LOGGER = logging.getLogger("uvicorn.error")
"""uvicorn's logger. It writes a traceback for each response that is truncated on
purpose; the cause is in briarthread's own log, with the request's id."""


class _Server(uvicorn.Server):
    """A uvicorn server that doesn't handle signals; HttpServer does."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """
    Serve an application and shut it down gracefully.

    On SIGTERM or SIGINT the ``on_drain`` callback runs first; it announces that
    the process is leaving and may wait until the announcement has spread. Then the
    listeners are closed and the requests in flight are awaited. ``clients`` bounds the
    clients of each port; a port that it does not name has the default bounds.
    """

    def __init__(
        self,
        app: Any,
        listeners: Sequence[socket.socket],
        drain_timeout: float,
        clients: Mapping[int, Clients] | None = None,
    ) -> None:
        self.listeners = list(listeners)
        UVICORN_LOGGER.setLevel(logging.CRITICAL)
        self.config = uvicorn.Config(
            app,
            http=LimitedProtocol,
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=BACKLOG,
            timeout_graceful_shutdown=int(drain_timeout) + 1,
        )
        ports = [listener.getsockname()[1] for listener in self.listeners]
        self.clients = {port: Clients() for port in ports} | dict(clients or {})
        self.config.clients = self.clients
        self.server = _Server(self.config)

    async def run(self, on_drain: Callable[[], Awaitable[None]]) -> None:
        """Serve until a stop signal arrives and all requests are complete."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_signal, on_drain)
            await self.server.serve(self.listeners)
            tasks.cancel_scope.cancel()
        for listener in self.listeners:
            listener.close()

    def set_idle_timeout(self, seconds: float) -> None:
        """Set the idle timeout of connections, existing ones included."""
        for clients in self.clients.values():
            clients.bounds = replace(clients.bounds, idle_seconds=seconds)

    def set_head_timeout(self, seconds: float) -> None:
        """Set the time that a client may take for the head of a request."""
        for clients in self.clients.values():
            clients.bounds = replace(clients.bounds, head_seconds=seconds)

    async def _wait_signal(self, on_drain: Callable[[], Awaitable[None]]) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                try:
                    await on_drain()
                except Exception:
                    # An error must not cut off the requests in flight.
                    logger.exception("http: the stop was not announced completely")
                self.server.should_exit = True
                return


def open_listener(listen: str) -> socket.socket:
    """
    Return a socket that listens on IP:PORT; raise ListenError if that fails.

    The protocol is set explicitly, because asyncio disables Nagle's algorithm only
    on sockets whose protocol is TCP; with it each response took 40 ms longer.
    """
    host, _, port = listen.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host.strip("[]"), int(port)))
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        raise ListenError(f"cannot listen on {listen}: {error.strerror}") from error
    return listener
