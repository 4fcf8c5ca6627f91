"""A client that reads slowly or not at all costs the server little memory."""

from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketStream

from briarthread_common.core.run_loop import run_loop
from briarthread_common.http import call as call_module
from briarthread_common.http import closing_transport
from briarthread_common.http.app import App, ResponseAborted, Route
from briarthread_common.http.call import REPLY_CHUNK_BYTES, Call
from briarthread_common.http.closing_transport import WRITE_BUFFER_BYTES
from briarthread_common.http.server import HttpServer, open_listener

TIMEOUT_SECONDS = 10.0
SHORT_SECONDS = 0.3
"""Time limit that replaces those of several seconds, so that the tests are fast."""
EVENT = b"id: 1\ndata: " + b"x" * 1000 + b"\n\n"
RESPONSE_BYTES = 32 * 1024 * 1024
"""Far more than the kernel's buffers of both ends hold."""
HANDLER_SECONDS = 2.0
"""Deadline of the stream, long after the kernel's buffers are full."""


class Handlers:
    """Handlers that note what became of their responses."""

    def __init__(self) -> None:
        self.sent_events = 0
        self.finished: list[bool] = []
        self.app = App(
            [
                Route("GET", "/stream", self.stream),
                Route("GET", "/chunks", self.reply_in_chunks),
                Route("GET", "/small", self.reply_small),
                Route("POST", "/refuse", self.refuse),
            ]
        )

    async def stream(self, call: Call) -> None:
        await call.start(200, [])
        with anyio.move_on_after(HANDLER_SECONDS):
            while True:
                await call.send_chunk(EVENT)
                self.sent_events += 1
                await anyio.lowlevel.checkpoint()
        raise ResponseAborted("deadline passed")

    async def reply_in_chunks(self, call: Call) -> None:
        await call.reply_in_chunks(200, b"y" * RESPONSE_BYTES)
        self.finished.append(call.finished)

    async def reply_small(self, call: Call) -> None:
        await call.reply_in_chunks(200, b"")
        self.finished.append(call.finished)

    async def refuse(self, call: Call) -> None:
        await anyio.sleep(0.1)
        await call.reply(503, b"full")


Client = Callable[[str, HttpServer, Handlers], Awaitable[None]]


@pytest.fixture(autouse=True)
def short_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(closing_transport, "UNREAD_CLOSE_SECONDS", SHORT_SECONDS)
    monkeypatch.setattr(call_module, "REPLY_TIMEOUT_SECONDS", SHORT_SECONDS)


def run_with_server(client: Client) -> None:
    """Run a server that drops unread responses, and test against it."""

    async def on_drain() -> None:
        return

    async def scenario() -> None:
        listener = open_listener("127.0.0.1:0")
        host, port = listener.getsockname()
        handlers = Handlers()
        server = HttpServer(handlers.app, [listener], 1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run, on_drain)
            with anyio.fail_after(TIMEOUT_SECONDS):
                while not server.server.started:
                    await anyio.sleep(0.01)
                await client(f"{host}:{port}", server, handlers)
            server.server.should_exit = True

    run_loop(scenario)


async def request(
    address: str, method: str, path: str, rest: bytes = b""
) -> SocketStream:
    host, _, port = address.rpartition(":")
    stream = await anyio.connect_tcp(host, int(port))
    await stream.send(f"{method} {path} HTTP/1.1\r\nHost: a\r\n".encode() + rest)
    if not rest:
        await stream.send(b"\r\n")
    return stream


def write_buffer_size(server: HttpServer) -> int:
    """Return the bytes in the write buffers of all connections."""
    connections = server.server.server_state.connections
    return sum(each.transport.get_write_buffer_size() for each in connections)


async def wait_until_closed(server: HttpServer) -> None:
    while server.server.server_state.connections:
        await anyio.sleep(0.02)


def test_stream_to_a_client_that_stops_reading_is_not_buffered() -> None:
    """
    Guards against events that collect in the server's write buffer.

    Also guards against a connection that lingers with its buffer after the deadline
    because its client does not read.
    """

    async def client(address: str, server: HttpServer, handlers: Handlers) -> None:
        async with await request(address, "GET", "/stream"):
            stalled_at = -1
            while handlers.sent_events != stalled_at:
                stalled_at = handlers.sent_events
                await anyio.sleep(HANDLER_SECONDS / 10)
            assert 0 < write_buffer_size(server) <= WRITE_BUFFER_BYTES + 2 * len(EVENT)
            await wait_until_closed(server)

    run_with_server(client)


def test_response_to_a_client_that_never_reads_is_dropped() -> None:
    """Guards against a whole response in the write buffer of a stalled connection."""

    async def client(address: str, server: HttpServer, handlers: Handlers) -> None:
        async with await request(address, "GET", "/chunks"):
            largest = 0
            while not handlers.finished:
                largest = max(largest, write_buffer_size(server))
                await anyio.sleep(0.01)
            assert 0 < largest <= WRITE_BUFFER_BYTES + REPLY_CHUNK_BYTES + 100
            assert handlers.finished == [False]
            await wait_until_closed(server)

    run_with_server(client)


@pytest.mark.parametrize(("path", "size"), [("/chunks", RESPONSE_BYTES), ("/small", 0)])
def test_response_in_chunks_is_complete(path: str, size: int) -> None:
    """Guards against chunks that are lost, doubled or without an end."""

    async def client(address: str, server: HttpServer, handlers: Handlers) -> None:
        async with await request(address, "GET", path) as stream:
            received = b""
            while b"\r\n\r\n" not in received:
                received += await stream.receive()
            head, _, start = received.partition(b"\r\n\r\n")
            assert f"content-length: {size}".encode() in head
            count = len(start)
            while count < size:
                count += len(await stream.receive())
            assert count == size
            while not handlers.finished:
                await anyio.sleep(0.01)
            assert handlers.finished == [True]

    run_with_server(client)


def test_client_that_reads_below_the_minimum_rate_is_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a client that reads a little now and then to hold a response."""
    monkeypatch.setattr(call_module, "MIN_READ_BYTES_PER_SECOND", RESPONSE_BYTES)

    async def client(address: str, server: HttpServer, handlers: Handlers) -> None:
        async with await request(address, "GET", "/chunks") as stream:
            while not handlers.finished:
                try:
                    await stream.receive(200_000)
                except anyio.BrokenResourceError:
                    break
                await anyio.sleep(0.05)
            await anyio.sleep(0.1)
            assert handlers.finished == [False]

    run_with_server(client)


def test_received_part_of_a_refused_body_is_not_kept() -> None:
    """Guards against idle connections that each keep a part of a refused body."""

    async def client(address: str, server: HttpServer, _: Handlers) -> None:
        head = b"Content-Length: 1000000\r\n\r\n" + b"x" * 60_000
        async with await request(address, "POST", "/refuse", head) as stream:
            assert (await stream.receive()).startswith(b"HTTP/1.1 503")
            (connection,) = server.server.server_state.connections
            assert len(connection.cycle.body) == 0

    run_with_server(client)
