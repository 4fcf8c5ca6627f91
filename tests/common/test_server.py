"""Tests for the listening socket and the HTTP server over real connections."""

import os
import signal
import socket
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import pytest
from anyio.abc import SocketStream
from failing_tasks import UnknownError, fail

from briarthread_common.core.exceptions import ListenError
from briarthread_common.core.run_loop import run_loop
from briarthread_common.http.app import App, ResponseAborted, Route
from briarthread_common.http.call import Call
from briarthread_common.http.call_connection import RESET_ON_CLOSE
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.channel_calls import read_bounded
from briarthread_common.http.channel_options import ChannelOptions
from briarthread_common.http.clients.client_bounds import ClientBounds
from briarthread_common.http.http_channel import HttpChannel
from briarthread_common.http.server import HttpServer, open_listener

MAX_HEAD_BYTES = ClientBounds().head_bytes
ANY_PORT = "127.0.0.1:0"
TIMEOUT_SECONDS = 5.0
"""Time limit of each test's steps, which take a few milliseconds."""


def test_listener_sets_the_tcp_protocol_so_that_nagle_is_disabled() -> None:
    with open_listener(ANY_PORT) as listener:
        assert listener.proto == socket.IPPROTO_TCP


def test_address_in_use_raises_listen_error() -> None:
    with open_listener(ANY_PORT) as listener:
        host, port = listener.getsockname()
        with pytest.raises(ListenError, match="cannot listen"):
            open_listener(f"{host}:{port}")


async def reply_before_body(call: Call) -> None:
    await call.reply(200, b"early")


async def reply_with_target(call: Call) -> None:
    await call.reply(200, call.raw_target.encode())


async def reply_with_length(call: Call) -> None:
    await call.reply(200, str(len(await call.read_body(10**6))).encode())


async def abort_response(call: Call) -> None:
    await call.start(200, [])
    await call.send_chunk(b"part")
    raise ResponseAborted("on purpose")


async def fail_at_once(call: Call) -> None:
    raise UnknownError


async def fail_in_child_task(call: Call) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fail_at_once, call)
        await anyio.sleep_forever()


async def fail_after_start(call: Call) -> None:
    await call.start(200, [])
    await call.send_chunk(b"part")
    raise UnknownError


class Work:
    """Handler that notes which requests began to be worked on and which ended."""

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.completed: list[bool] = []

    async def handle(self, call: Call) -> None:
        await call.read_body(10**6)
        self.completed.append(await call.run_until_disconnect(partial(self.work, call)))

    async def work(self, call: Call) -> None:
        self.begun.append(call.path)
        await call.reply(200, b"done")


WORK = Work()
APP = App(
    [
        Route("POST", "/task/", WORK.handle),
        Route("POST", "/early", reply_before_body),
        Route("POST", "/length", reply_with_length),
        Route("POST", "/cut", abort_response),
        Route("POST", "/fail", fail_at_once),
        Route("POST", "/fail-in-child", fail_in_child_task),
        Route("POST", "/fail-late", fail_after_start),
        Route("GET", "/target", reply_with_target),
    ]
)


def run_with_server(client: Callable[[str, HttpServer], Awaitable[None]]) -> None:
    """Run a server on uvloop, as the entry and the agent do, and test against it."""

    async def on_drain() -> None:
        return

    async def scenario() -> None:
        listener = open_listener(ANY_PORT)
        host, port = listener.getsockname()
        server = HttpServer(APP, [listener], 1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run, on_drain)
            with anyio.fail_after(TIMEOUT_SECONDS):
                while not server.server.started:
                    await anyio.sleep(0.01)
                await client(f"{host}:{port}", server)
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
    received = b""
    while not received.endswith(end):
        received += await stream.receive()
    return received


def test_connection_is_reused_after_a_response_that_preceded_the_body() -> None:
    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(b"POST /early HTTP/1.1\r\nHost: a\r\n")
            await stream.send(b"Content-Length: 20\r\n\r\n0123456789")
            assert (await read_until(stream, b"early")).startswith(b"HTTP/1.1 200")
            await stream.send(b"0123456789")
            await stream.send(b"POST /length HTTP/1.1\r\nHost: a\r\n")
            await stream.send(b"Content-Length: 3\r\n\r\nabc")
            received = await read_until(stream, b"3")
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(
                b"\r\n\r\n3"
            )

    run_with_server(client)


def test_aborted_response_is_recognisably_truncated() -> None:
    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(b"POST /cut HTTP/1.1\r\nHost: a\r\n")
            await stream.send(b"Content-Length: 0\r\n\r\n")
            received = await read_to_end(stream)
            assert received.endswith(b"4\r\npart\r\n") and b"0\r\n\r\n" not in received

    run_with_server(client)


@pytest.mark.parametrize("path", ["/fail", "/fail-in-child"])
def test_unknown_error_of_a_request_is_answered_as_outcome_unknown(path: str) -> None:
    """Guards against requests that end silently or take others with them."""

    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(f"POST {path} HTTP/1.1\r\nHost: a\r\n".encode())
            await stream.send(b"Content-Length: 0\r\n\r\n")
            received = (await read_until(stream, b"}")).lower()
            assert received.startswith(b"http/1.1 500")
            assert b"briarthread-outcome: unknown\r\n" in received
            await stream.send(b"POST /early HTTP/1.1\r\nHost: a\r\n")
            await stream.send(b"Content-Length: 0\r\n\r\n")
            assert (await read_until(stream, b"early")).startswith(b"HTTP/1.1 200")

    run_with_server(client)


def test_unknown_error_after_the_head_leaves_the_response_truncated() -> None:
    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(b"POST /fail-late HTTP/1.1\r\nHost: a\r\n")
            await stream.send(b"Content-Length: 0\r\n\r\n")
            received = await read_to_end(stream)
            assert b"part" in received
            assert not received.endswith(b"0\r\n\r\n")

    run_with_server(client)


def test_request_in_flight_is_answered_although_the_stop_cannot_be_announced() -> None:
    """Guards against a planned stop that cuts requests off."""

    async def scenario() -> None:
        listener = open_listener(ANY_PORT)
        host, port = listener.getsockname()
        released = anyio.Event()

        async def reply_when_released(call: Call) -> None:
            await released.wait()
            await call.reply(200, b"done")

        app = App([Route("POST", "/slow", reply_when_released)])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(HttpServer(app, [listener], 2).run, fail)
            async with await connect(f"{host}:{port}") as stream:
                await stream.send(b"POST /slow HTTP/1.1\r\nHost: a\r\n")
                await stream.send(b"Content-Length: 0\r\n\r\n")
                await anyio.sleep(0.3)
                os.kill(os.getpid(), signal.SIGTERM)
                await anyio.sleep(0.3)
                released.set()
                assert (await read_until(stream, b"done")).startswith(b"HTTP/1.1 200")

    run_loop(scenario)


@pytest.mark.parametrize("size", [0, 3, 100_000])
@pytest.mark.parametrize("reset", [False, True])
def test_request_whose_caller_left_before_it_was_read_is_not_begun(
    size: int, reset: bool
) -> None:
    path = f"/task/{size}/{reset}"

    async def client(address: str, _: HttpServer) -> None:
        host, port = address.split(":")
        connection = socket.create_connection((host, int(port)))
        head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
        connection.sendall(head.encode() + b"x" * size)
        if reset:
            connection.setsockopt(*RESET_ON_CLOSE)
        connection.close()
        await anyio.sleep(0.1)

    run_with_server(client)
    assert path not in WORK.begun


@pytest.mark.parametrize("in_chunks", [False, True])
def test_work_after_a_complete_response_is_not_cancelled(in_chunks: bool) -> None:
    """Guards against responses that are delivered and counted as abandoned."""

    async def scenario() -> None:
        listener = open_listener(ANY_PORT)
        host, port = listener.getsockname()
        completed: list[bool] = []

        async def reply_and_record(call: Call) -> None:
            reply = call.reply_in_chunks if in_chunks else call.reply

            async def respond() -> None:
                await reply(200, b"done")
                await anyio.sleep(0.05)

            completed.append(await call.run_until_disconnect(respond))

        app = App([Route("POST", "/x", reply_and_record)])
        server = HttpServer(app, [listener], 1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.server.serve, [listener])
            async with await connect(f"{host}:{port}") as stream:
                await stream.send(b"POST /x HTTP/1.1\r\nHost: a\r\n")
                await stream.send(b"Content-Length: 0\r\n\r\n")
                await read_until(stream, b"done")
                await anyio.sleep(0.2)
            server.server.should_exit = True
        assert completed == [True]

    run_loop(scenario)


def test_request_of_a_caller_that_stays_is_completed() -> None:
    async def client(address: str, _: HttpServer) -> None:
        channel = HttpChannel()
        request = ChannelRequest("POST", address, "/task/stays", body=b"abc")
        async with channel.stream(request) as response:
            assert await read_bounded(response.body, 10) == b"done"
        await channel.close()

    run_with_server(client)
    assert WORK.begun.count("/task/stays") == 1
    assert WORK.completed[-1]


@pytest.mark.parametrize("chunk_size", [1000, 10 * MAX_HEAD_BYTES])
def test_oversized_incomplete_head_is_rejected(chunk_size: int) -> None:
    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(b"POST /length HTTP/1.1\r\nHost: a\r\nX-Long: ")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    _send_all, stream, b"x" * 3 * MAX_HEAD_BYTES, chunk_size
                )
                received = await read_to_end(stream)
                tasks.cancel_scope.cancel()
            assert received.startswith(b"HTTP/1.1 431") or received == b""

    run_with_server(client)


async def _send_all(stream: SocketStream, data: bytes, chunk_size: int) -> None:
    try:
        for start in range(0, len(data), chunk_size):
            await stream.send(data[start : start + chunk_size])
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


def test_request_with_length_and_transfer_encoding_is_rejected() -> None:
    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(
                b"POST /length HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
            )
            assert (await read_to_end(stream)).startswith(b"HTTP/1.1 400")

    run_with_server(client)


OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    "HTTP2-Settings: AAMAAABk\r\n"
)
SMUGGLED = "POST /length HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
LENGTH = f"Content-Length: {len(SMUGGLED)}\r\n\r\n{SMUGGLED}"
CHUNKS = (
    f"Transfer-Encoding: chunked\r\n\r\n{len(SMUGGLED):x}\r\n{SMUGGLED}\r\n0\r\n\r\n"
)


@pytest.mark.parametrize("offer", [OFFER, OFFER.replace("h2c", "websocket")])
@pytest.mark.parametrize("body", [LENGTH, CHUNKS])
@pytest.mark.parametrize("chunk_size", [1, 50, 100, 100_000])
def test_body_of_a_request_that_offers_an_upgrade_is_no_request(
    offer: str, body: str, chunk_size: int
) -> None:
    """Guards against a request that is smuggled in the body of another one."""

    async def client(address: str, server: HttpServer) -> None:
        request = f"POST /length HTTP/1.1\r\nHost: x\r\n{offer}{body}"
        last = "POST /length HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        last += "Content-Length: 3\r\n\r\nend"
        async with await connect(address) as stream:
            await _send_all(stream, f"{request}{request}{last}".encode(), chunk_size)
            answers = await read_to_end(stream)
        assert answers.count(b"HTTP/1.1 200") == 3
        bodies = [part.split(b"HTTP/1.1")[0] for part in answers.split(b"\r\n\r\n")[1:]]
        assert bodies == [b"%d" % len(SMUGGLED)] * 2 + [b"3"]

    run_with_server(client)


@pytest.mark.parametrize("target", ["/target", "/target?", "/target?a=1", "/target??"])
def test_target_of_a_request_is_kept_as_sent(target: str) -> None:
    """Guards against a query that is lost because it is empty."""

    async def client(address: str, server: HttpServer) -> None:
        async with await connect(address) as stream:
            head = f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            await stream.send(head.encode())
            answer = await read_to_end(stream)
        assert answer.endswith(f"\r\n\r\n{target}".encode())

    run_with_server(client)


def test_tunnel_is_refused() -> None:
    async def client(address: str, server: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(b"CONNECT x:80 HTTP/1.1\r\nHost: x:80\r\n\r\n" + b"x" * 9)
            assert (await read_to_end(stream)).startswith(b"HTTP/1.1 400")

    run_with_server(client)


def test_idle_timeout_set_later_applies_to_existing_connections() -> None:
    async def client(address: str, server: HttpServer) -> None:
        async with await connect(address) as stream:
            server.set_idle_timeout(0.05)
            await stream.send(b"POST /length HTTP/1.1\r\nHost: a\r\n")
            await stream.send(b"Content-Length: 0\r\n\r\n")
            assert (await read_to_end(stream)).endswith(b"0")

    run_with_server(client)


def test_channel_sets_the_tcp_user_timeout() -> None:
    async def client(address: str, _: HttpServer) -> None:
        channel = HttpChannel(ChannelOptions(user_timeout_seconds=1.2))
        request = ChannelRequest("POST", address, "/length", body=b"abc")
        async with channel.stream(request) as response:
            assert await read_bounded(response.body, 10) == b"3"
            pool = channel.pools[address, False]
            network = pool.connections[0]._connection._network_stream
            sock = network.get_extra_info("socket")
            timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert timeout == 1200
        await channel.close()

    run_with_server(client)
