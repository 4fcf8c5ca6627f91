"""The HTTP server of a process."""

import contextlib
import logging
import signal
import socket
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from briarthread_common.core.exceptions import ListenError

KEEPALIVE_SECONDS = 75
"""Longer than the client's, so that the client closes first."""
MAX_HEADER_BYTES = 32 * 1024
BACKLOG = 2048
UVICORN_LOGGER = logging.getLogger("uvicorn.error")
"""The library's log. It writes a whole traceback for each answer that is cut
off on purpose; what led to the cut is in our own log, with the request's id."""


class _QuietServer(uvicorn.Server):
    """A uvicorn server that leaves the signals to us."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class _HeadTooLarge(Exception):  # noqa: N818
    """A caller sent more header bytes than are taken."""


class _PatientProtocol(HttpToolsProtocol):
    """
    A connection that takes its idle time from the settings at each pause.

    The parser bounds nothing by itself, so the bytes of a head are counted as
    they come; too many end the connection with the answer to a broken request.
    """

    in_head = False
    head_bytes = 0
    unended = 0

    @property
    def timeout_keep_alive(self) -> float:
        """Return the seconds that the connection may be idle."""
        return self.config.timeout_keep_alive

    @timeout_keep_alive.setter
    def timeout_keep_alive(self, seconds: float) -> None:
        pass

    def data_received(self, data: bytes) -> None:
        """Take bytes; refuse a head that goes on without an end."""
        super().data_received(data)
        if self.in_head:
            self.unended += len(data)
            if self.unended > MAX_HEADER_BYTES:
                self.send_400_response("The head of the request is too large.")

    def on_message_begin(self) -> None:
        """Begin to count a head."""
        self.in_head = True
        self.head_bytes = self.unended = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Take a whole head."""
        self.in_head = False
        super().on_headers_complete()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._count(len(name) + len(value))
        super().on_header(name, value)

    def _count(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MAX_HEADER_BYTES:
            raise _HeadTooLarge


class HttpServer:
    """
    Serve an application and stop it gracefully.

    At SIGTERM or SIGINT the ``on_drain`` callback runs first (it says that
    the process is leaving and may wait for that to be heard), then the
    listener closes and the requests in flight are awaited.
    """

    def __init__(
        self, app: Any, listeners: Sequence[socket.socket], drain_timeout: float
    ) -> None:
        self.listeners = list(listeners)
        UVICORN_LOGGER.setLevel(logging.CRITICAL)
        self.config = uvicorn.Config(
            app,
            http=_PatientProtocol,
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=KEEPALIVE_SECONDS,
            timeout_graceful_shutdown=int(drain_timeout) + 1,
        )
        self.server = _QuietServer(self.config)

    async def run(self, on_drain: Callable[[], Awaitable[None]]) -> None:
        """Serve until a signal asks to stop and all requests are done."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_signal, on_drain)
            await self.server.serve(self.listeners)
            tasks.cancel_scope.cancel()
        for listener in self.listeners:
            listener.close()

    def set_idle_timeout(self, seconds: float) -> None:
        """Keep idle connections open for this long from now on."""
        self.config.timeout_keep_alive = seconds

    async def _wait_signal(self, on_drain: Callable[[], Awaitable[None]]) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                await on_drain()
                self.server.should_exit = True
                return


def open_listener(listen: str) -> socket.socket:
    """
    Return a socket that listens at IP:PORT or raise ListenError.

    The protocol is stated, because asyncio turns Nagle's algorithm off only
    on sockets that say they are TCP; with it on each answer took 40 ms more.
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
