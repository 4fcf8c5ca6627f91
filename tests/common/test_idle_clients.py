"""Clients that open connections and send nothing, or not all of a head."""

from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketStream

from briarthread_common.core.run_loop import run_loop
from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.http.clients.client_bounds import ClientBounds
from briarthread_common.http.clients.clients import Clients
from briarthread_common.http.server import HttpServer, open_listener

IDLE_SECONDS, HEAD_SECONDS = 0.4, 0.1
LONGEST_SECONDS = 5.0
"""Time limit of each test, which takes some tenths of a second."""
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def reply(call: Call) -> None:
    await call.reply(200, b"done")


async def reply_slowly(call: Call) -> None:
    await anyio.sleep(HEAD_SECONDS * 3)
    await call.reply(200, b"done")


def run_with_server(
    client: Callable[[str, Clients], Awaitable[None]],
    bounds: ClientBounds,
) -> None:
    """Run a server whose timeouts a configuration has set, and a client."""

    async def on_drain() -> None:
        return

    async def scenario() -> None:
        listener = open_listener("127.0.0.1:0")
        host, port = listener.getsockname()
        connections = Clients("callers", bounds)
        app = App([Route("GET", "/slow", reply_slowly), Route("GET", "/", reply)])
        server = HttpServer(app, [listener], 1, clients={port: connections})
        server.set_idle_timeout(IDLE_SECONDS)
        server.set_head_timeout(HEAD_SECONDS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run, on_drain)
            with anyio.fail_after(LONGEST_SECONDS):
                while not server.server.started:
                    await anyio.sleep(0.01)
                await client(f"{host}:{port}", connections)
            server.server.should_exit = True

    run_loop(scenario)


async def connect(address: str) -> SocketStream:
    host, _, port = address.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


async def seconds_to_end(stream: SocketStream) -> float:
    """Return after how many seconds the server closes a connection."""
    began = anyio.current_time()
    with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
        while True:
            await stream.receive()
    return anyio.current_time() - began


def test_connection_without_a_request_is_closed_after_the_idle_timeout() -> None:
    """Guards against connections of vanished clients that add up without an end."""

    async def client(address: str, connections: Clients) -> None:
        async with await connect(address) as stream:
            assert await seconds_to_end(stream) > IDLE_SECONDS * 0.9
        await anyio.sleep(0.05)
        assert connections.count == 0

    run_with_server(client, ClientBounds())


def test_connection_without_a_request_has_less_time_while_many_are_open() -> None:
    """Guards against idle connections that take the place of all others for long."""

    async def client(address: str, _: Clients) -> None:
        async with await connect(address), await connect(address) as stream:
            assert await seconds_to_end(stream) < IDLE_SECONDS * 0.9

    run_with_server(client, ClientBounds(kept_connections=1))


@pytest.mark.parametrize("sent", [b"G", REQUEST[:-2], REQUEST + b"GET /"])
def test_head_that_is_not_completed_in_time_ends_its_connection(sent: bytes) -> None:
    """Guards against clients that send a part of a head and nothing more."""

    async def client(address: str, _: Clients) -> None:
        async with await connect(address) as stream:
            await stream.send(sent)
            assert await seconds_to_end(stream) < IDLE_SECONDS * 0.9

    run_with_server(client, ClientBounds())


def test_request_that_is_served_is_not_cut_off_by_a_part_of_the_next_one() -> None:
    """Guards against an answer that is lost since its client has begun to send more."""

    async def client(address: str, _: Clients) -> None:
        async with await connect(address) as stream:
            await stream.send(REQUEST.replace(b"/", b"/slow", 1) + b"GET /")
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
            await seconds_to_end(stream)

    run_with_server(client, ClientBounds())


def test_request_in_time_keeps_its_connection() -> None:
    """Guards against a timeout that goes on running after its request has come."""

    async def client(address: str, _: Clients) -> None:
        async with await connect(address) as stream:
            for _ in range(3):
                await stream.send(REQUEST[:9])
                await anyio.sleep(HEAD_SECONDS / 2)
                await stream.send(REQUEST[9:])
                assert (await stream.receive()).startswith(b"HTTP/1.1 200")
                await anyio.sleep(IDLE_SECONDS * 0.6)

    run_with_server(client, ClientBounds())


def test_bounds_tell_when_a_connection_would_be_rejected() -> None:
    connections = Clients("callers", ClientBounds(kept_connections=1, connections=2))
    assert [connections.rejects() or connections.open() for _ in range(2)] == [True] * 2
    assert connections.rejects()
    connections.close()
    assert not connections.rejects()
