"""The listening socket of a process, and its server over real connections."""

import socket
from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketStream

from briarthread_common.core.exceptions import ListenError
from briarthread_common.core.run_loop import run_loop
from briarthread_common.http.app import App, ResponseAborted, Route
from briarthread_common.http.call import Call
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.channel_calls import read_bounded
from briarthread_common.http.channel_options import ChannelOptions
from briarthread_common.http.http_channel import HttpChannel
from briarthread_common.http.server import MAX_HEADER_BYTES, HttpServer, open_listener

ANY_PORT = "127.0.0.1:0"
PATIENCE = 5.0
"""Seconds after which a step of these tests has failed; each takes some ms."""


def test_listener_says_tcp_so_that_answers_are_sent_without_delay() -> None:
    with open_listener(ANY_PORT) as listener:
        assert listener.proto == socket.IPPROTO_TCP


def test_address_in_use_is_a_plain_error() -> None:
    with open_listener(ANY_PORT) as listener:
        host, port = listener.getsockname()
        with pytest.raises(ListenError, match="cannot listen"):
            open_listener(f"{host}:{port}")


async def say_early(call: Call) -> None:
    await call.reply(200, b"early")


async def say_length(call: Call) -> None:
    await call.reply(200, str(len(await call.read_body(10**6))).encode())


async def break_off(call: Call) -> None:
    await call.start(200, [])
    await call.send_chunk(b"part")
    raise ResponseAborted("on purpose")


APP = App(
    [
        Route("POST", "/early", say_early),
        Route("POST", "/length", say_length),
        Route("POST", "/cut", break_off),
    ]
)


def over_sockets(play: Callable[[str, HttpServer], Awaitable[None]]) -> None:
    """Serve on the loop of the binaries and play against the address."""

    async def nothing() -> None:
        return

    async def scenario() -> None:
        listener = open_listener(ANY_PORT)
        host, port = listener.getsockname()
        server = HttpServer(APP, [listener], 1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run, nothing)
            with anyio.fail_after(PATIENCE):
                while not server.server.started:
                    await anyio.sleep(0.01)
                await play(f"{host}:{port}", server)
            server.server.should_exit = True

    run_loop(scenario)


async def connect(address: str) -> SocketStream:
    host, _, port = address.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


async def read_to_end(stream: SocketStream) -> bytes:
    parts = []
    try:
        while True:
            parts.append(await stream.receive())
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b"".join(parts)


async def read_until(stream: SocketStream, end: bytes) -> bytes:
    got = b""
    while not got.endswith(end):
        got += await stream.receive()
    return got


def test_connection_goes_on_after_an_answer_that_came_before_the_body() -> None:
    async def play(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(b"POST /early HTTP/1.1\r\nHost: a\r\n")
            await stream.send(b"Content-Length: 20\r\n\r\n0123456789")
            assert (await read_until(stream, b"early")).startswith(b"HTTP/1.1 200")
            await stream.send(b"0123456789")
            await stream.send(b"POST /length HTTP/1.1\r\nHost: a\r\n")
            await stream.send(b"Content-Length: 3\r\n\r\nabc")
            answer = await read_until(stream, b"3")
            assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"\r\n\r\n3")

    over_sockets(play)


def test_answer_that_is_broken_off_does_not_look_whole() -> None:
    async def play(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(b"POST /cut HTTP/1.1\r\nHost: a\r\n")
            await stream.send(b"Content-Length: 0\r\n\r\n")
            answer = await read_to_end(stream)
            assert answer.endswith(b"4\r\npart\r\n") and b"0\r\n\r\n" not in answer

    over_sockets(play)


@pytest.mark.parametrize("piece", [1000, 10 * MAX_HEADER_BYTES])
def test_head_without_an_end_is_refused(piece: int) -> None:
    async def play(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(b"POST /length HTTP/1.1\r\nHost: a\r\nX-Long: ")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_all, stream, b"x" * 3 * MAX_HEADER_BYTES, piece)
                answer = await read_to_end(stream)
                tasks.cancel_scope.cancel()
            assert answer.startswith(b"HTTP/1.1 400") or answer == b""

    over_sockets(play)


async def _send_all(stream: SocketStream, data: bytes, piece: int) -> None:
    try:
        for start in range(0, len(data), piece):
            await stream.send(data[start : start + piece])
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


def test_request_with_two_lengths_is_refused() -> None:
    async def play(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(
                b"POST /length HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
            )
            assert (await read_to_end(stream)).startswith(b"HTTP/1.1 400")

    over_sockets(play)


def test_idle_connection_is_closed_after_the_time_that_is_set_later() -> None:
    async def play(address: str, server: HttpServer) -> None:
        async with await connect(address) as stream:
            server.set_idle_timeout(0.05)
            await stream.send(b"POST /length HTTP/1.1\r\nHost: a\r\n")
            await stream.send(b"Content-Length: 0\r\n\r\n")
            assert (await read_to_end(stream)).endswith(b"0")

    over_sockets(play)


def test_channel_sets_how_long_the_kernel_waits_for_a_silent_peer() -> None:
    async def play(address: str, _: HttpServer) -> None:
        channel = HttpChannel(ChannelOptions(user_timeout_seconds=1.2))
        request = ChannelRequest("POST", address, "/length", body=b"abc")
        async with channel.stream(request) as response:
            assert await read_bounded(response.body, 10) == b"3"
            pool = channel.pools[address, False]
            network = pool.connections[0]._connection._network_stream
            sock = network.get_extra_info("socket")
            patience = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert patience == 1200
        await channel.close()

    over_sockets(play)
