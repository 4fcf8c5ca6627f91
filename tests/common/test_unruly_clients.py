"""Clients that do not behave, over real sockets and with short timeouts."""

import contextlib
import gc
import weakref
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio
import pytest
from anyio.abc import SocketStream

from briarthread_common.core.run_loop import run_loop
from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.http.clients import client_bounds
from briarthread_common.http.clients.client_bounds import ClientBounds
from briarthread_common.http.clients.clients import Clients
from briarthread_common.http.server import HttpServer, open_listener

IDLE_SECONDS = 0.4
SHORT_TIMES = ClientBounds(idle_seconds=IDLE_SECONDS, head_seconds=IDLE_SECONDS)
"""Bounds of the tests in which a time has to end; in the others none does."""
CHECK_SECONDS = 0.01
MAX_BODY_BYTES = 100_000
MAX_MESSAGE_BYTES = 1_000_000
LONGEST_SECONDS = 8.0
"""Time limit of each test, less than the default times of the bounds."""
SLOW = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
CLOSED = (anyio.EndOfStream, anyio.BrokenResourceError)


class Gate:
    """Holds the second half of responses back until it is opened."""

    opened = anyio.Event()


async def reply_slowly(call: Call) -> None:
    """Send the halves of a response, the second one when the gate is open."""
    await call.start(200, [("content-length", "8")])
    await call.send_chunk(b"half")
    await Gate.opened.wait()
    await call.send_chunk(b"half")
    await call.finish()


async def reply_with_body(call: Call) -> None:
    """Send back the body of a request."""
    await call.reply(200, await call.read_body(MAX_BODY_BYTES))


async def reply_without_end(call: Call) -> None:
    """Send chunks until the client has gone."""

    async def send_chunks() -> None:
        await call.start(200, [])
        while True:
            await call.send_chunk(b"a" * 10_000)
            await anyio.lowlevel.checkpoint()

    await call.run_until_disconnect(send_chunks)


async def reply_with_message(call: Call) -> None:
    """Send back a message."""
    await call.reply_json(await call.read_json(str, MAX_MESSAGE_BYTES))


APP = App(
    [
        Route("GET", "/endless", reply_without_end),
        Route("POST", "/message", reply_with_message),
        Route("GET", "/slow", reply_slowly),
        Route("POST", "/slow-refusal", reply_slowly),
        Route("POST", "/echo", reply_with_body),
    ]
)


def run_with_server(
    client: Callable[[str, HttpServer], Awaitable[None]],
    bounds: ClientBounds | None = None,
) -> None:
    """Run a server whose clients have some bounds, and a client."""

    async def on_drain() -> None:
        return

    async def scenario() -> None:
        listener = open_listener("127.0.0.1:0")
        host, port = listener.getsockname()
        clients = Clients("clients", bounds)
        server = HttpServer(APP, [listener], 1, clients={port: clients})
        Gate.opened = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run, on_drain)
            with anyio.fail_after(LONGEST_SECONDS):
                while not server.server.started:
                    await anyio.sleep(CHECK_SECONDS)
                await client(f"{host}:{port}", server)
            Gate.opened.set()
            server.server.should_exit = True

    run_loop(scenario)


async def connect(address: str) -> SocketStream:
    host, _, port = address.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


async def read_to_end(stream: SocketStream) -> bytes:
    """Return all that comes until the connection ends."""
    parts: list[bytes] = []
    try:
        while True:
            parts.append(await stream.receive())
    except CLOSED:
        return b"".join(parts)


async def read_until(stream: SocketStream, end: bytes) -> bytes:
    """Return what comes up to some bytes that come last."""
    received = b""
    while not received.endswith(end):
        received += await stream.receive()
    return received


def build_echo(body: bytes, chunked: bool, more: bytes = b"") -> bytes:
    """Return a request with a body, and with further fields."""
    head = b"POST /echo HTTP/1.1\r\nHost: a\r\n" + more
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


@pytest.mark.parametrize("size", [1, 7, 40, 100_000])
@pytest.mark.parametrize("chunked", [False, True])
def test_requests_sent_before_an_answer_are_answered_in_order(
    chunked: bool, size: int
) -> None:
    """Guards against requests that wait behind another one and are lost or mixed."""
    bodies = [b"first\n\n", b"", b"\r\n\r\nthird", b"\r\n0\r\n\r\n", b"fifth"]
    sent = b"\r\n".join(build_echo(body, chunked) for body in bodies)
    sent += build_echo(b"end", chunked, b"Connection: close\r\n")

    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            for begin in range(0, len(sent), size):
                await stream.send(sent[begin : begin + size])
            received = await read_to_end(stream)
        answers = received.split(b"HTTP/1.1 200 OK")[1:]
        answered = [answer.partition(b"\r\n\r\n")[2] for answer in answers]
        assert answered == [*bodies, b"end"]

    run_with_server(client)


def test_requests_sent_before_an_answer_are_kept_unparsed() -> None:
    """Guards against memory for thousands of requests of one connection."""

    async def client(address: str, server: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(SLOW)
            await stream.receive()
            await stream.send(SLOW * 300)
            (connection,) = server.server.server_state.connections
            while not connection.unparsed:
                await anyio.sleep(CHECK_SECONDS)
            assert not connection.pipeline
            assert len(server.server.server_state.tasks) == 1

    run_with_server(client)


def test_bad_bytes_after_a_request_leave_its_answer_whole() -> None:
    """Guards against a refusal that is written into the middle of an answer."""

    async def client(address: str, server: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(SLOW)
            received = await stream.receive()
            await stream.send(b"\x00 no request\r\n\r\n")
            (connection,) = server.server.server_state.connections
            while not connection.unparsed:
                await anyio.sleep(CHECK_SECONDS)
            Gate.opened.set()
            received += await read_to_end(stream)
        answer, _, refusal = received.partition(b"HTTP/1.1 400")
        assert answer.endswith(b"\r\n\r\nhalfhalf")
        assert b"\r\nconnection: close\r\n" in refusal.lower()

    run_with_server(client)


def build_head(size: int) -> bytes:
    """Return a request whose head has that many bytes."""
    head = b"POST /echo HTTP/1.1\r\nHost: a\r\nx-a: %s\r\n\r\n"
    return head % (b"a" * (size - len(head) + 2))


@pytest.mark.parametrize("size", [300, 5000, 100_000])
@pytest.mark.parametrize(("excess", "status"), [(0, 200), (1, 431)])
def test_head_is_refused_if_it_is_larger_than_the_operator_allows(
    size: int, excess: int, status: int
) -> None:
    """Guards against a limit of the operator that nothing applies."""
    bounds = ClientBounds(header_bytes=1000)

    async def client(address: str, _: HttpServer) -> None:
        sent = build_head(bounds.head_bytes + excess)
        async with await connect(address) as stream:
            for begin in range(0, len(sent), size):
                await stream.send(sent[begin : begin + size])
            assert (await stream.receive()).startswith(b"HTTP/1.1 %d" % status)

    run_with_server(client, bounds)


CHUNKED = b"POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_FRAMING = {
    "size": CHUNKED + b"0",
    "extension": CHUNKED + b"1;a",
    "trailer": CHUNKED + b"0\r\nx-a: 0",
    "trailer name": CHUNKED + b"1\r\na\r\n0\r\nx",
}


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("place", ENDLESS_FRAMING)
def test_framing_without_end_is_refused(place: str, is_reused: bool) -> None:
    """Guards against bytes of a body for which the parser calls nobody."""
    bounds = ClientBounds(header_bytes=1000)

    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            if is_reused:
                await stream.send(build_echo(b"first", chunked=True))
                await read_until(stream, b"first")
            last = ENDLESS_FRAMING[place][-1:]
            await stream.send(ENDLESS_FRAMING[place] + last * 2000)
            assert (await stream.receive()).startswith(b"HTTP/1.1 400")
            await read_to_end(stream)

    run_with_server(client, bounds)


@pytest.mark.parametrize("trailer", [b"", b"x-a: " + b"a" * 900 + b"\r\n"])
def test_body_in_the_smallest_chunks_is_served(trailer: bytes) -> None:
    """Guards against a bound that a client inside the limits meets."""

    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            chunks = b"1\r\na\r\n" * 100
            await stream.send(CHUNKED + chunks + b"0\r\n" + trailer + b"\r\n")
            await read_until(stream, b"a" * 100)

    run_with_server(client, ClientBounds(header_bytes=1000))


@pytest.mark.parametrize("path", [b"/absent", b"/slow-refusal"])
def test_bad_body_adds_nothing_to_an_answer_that_has_begun(path: bytes) -> None:
    """Guards against a refusal after, or in the middle of, another answer."""

    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(CHUNKED.replace(b"/echo", path))
            received = await stream.receive()
            await stream.send(b"no size\r\n")
            received += await read_to_end(stream)
        assert received.count(b"HTTP/1.1") == 1
        assert b"no request" not in received

    run_with_server(client)


def test_bad_body_ends_its_request() -> None:
    """Guards against a handler that goes on reading a body that was refused."""

    async def client(address: str, server: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(CHUNKED + b"no size\r\n")
            assert (await stream.receive()).startswith(b"HTTP/1.1 400")
            await read_to_end(stream)
            await anyio.sleep(CHECK_SECONDS)
            assert not server.server.server_state.tasks

    run_with_server(client)


SMALL_FIELDS = b"POST /echo HTTP/1.1\r\nHost: a\r\n" + b"".join(
    b"%x:\r\n" % number for number in range(100)
)
"""The begin of a head that holds some 65 KB."""


def test_sum_of_all_heads_is_bounded_and_leaves_room_for_an_ordinary_one() -> None:
    """Guards against a crowd whose heads take the memory of a process."""
    bounds = ClientBounds(held_bytes=200_000)

    async def client(address: str, server: HttpServer) -> None:
        (clients,) = server.clients.values()
        refused: list[str] = []
        clients.on_refused = lambda _, reason: refused.append(reason)
        streams = [await connect(address) for _ in range(10)]
        for stream in streams:
            await stream.send(SMALL_FIELDS)
        while len(clients.unused) + len(refused) < len(streams) or not refused:
            await anyio.sleep(CHECK_SECONDS)
        assert 0 < clients.held <= bounds.held_bytes
        async with await connect(address) as ordinary:
            await ordinary.send(build_echo(b"body", chunked=False))
            await read_until(ordinary, b"body")
        assert set(refused) == {"memory-full"}
        answer = await read_to_end(streams[-1])
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"outcome: not-run\r\nretry-after: 1" in answer
        for stream in streams:
            await stream.aclose()
        while clients.held:
            await anyio.sleep(CHECK_SECONDS)

    run_with_server(client, bounds)


@pytest.mark.parametrize("is_whole", [False, True])
def test_answered_request_holds_nothing(is_whole: bool) -> None:
    """Guards against idle connections that each keep the head of their last request."""

    async def client(address: str, server: HttpServer) -> None:
        (clients,) = server.clients.values()
        async with await connect(address) as stream:
            length = 0 if is_whole else 1000
            rest = b"Content-Length: %d\r\n\r\n" % length
            await stream.send(SMALL_FIELDS.replace(b"/echo", b"/absent") + rest)
            assert (await stream.receive()).startswith(b"HTTP/1.1 404")
            (connection,) = server.server.server_state.connections
            assert not (connection.headers or connection.scope or clients.held)

    run_with_server(client, ClientBounds(held_bytes=200_000))


def test_bodies_count_where_nothing_else_counts_them() -> None:
    """Guards against messages between processes that fill one of them together."""

    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(CHUNKED + b"ffff\r\n" + b"a" * 65_000)
            assert (await stream.receive()).startswith(b"HTTP/1.1 503")

    run_with_server(client, ClientBounds(held_bytes=50_000))


def test_empty_lines_do_not_keep_a_connection_open() -> None:
    """Guards against empty lines that stop the idle timer and start none."""

    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            with pytest.raises(CLOSED):
                while True:
                    await stream.send(b"\r\n")
                    await anyio.sleep(IDLE_SECONDS / 10)

    run_with_server(client, SHORT_TIMES)


@pytest.mark.parametrize("line", [b"\r\n", b"\n", b"\r", b"\n\r\n\r"])
def test_empty_lines_without_end_close_their_connection(line: bytes) -> None:
    """Guards against bytes before a request that nothing counts."""

    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(line * 2000)
            assert await read_to_end(stream) == b""

    run_with_server(client)


def test_some_empty_lines_before_a_request_are_ignored() -> None:
    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            for _ in range(3):
                await stream.send(b"\r\n" * 200 + build_echo(b"body", chunked=False))
                await read_until(stream, b"body")

    run_with_server(client)


SLOW_BODIES = {
    "content": CHUNKED + b"ffff\r\n",
    "chunk size": CHUNKED,
    "extension": CHUNKED + b"1;",
    "trailer": CHUNKED + b"0\r\nx-a: ",
    "answered": CHUNKED.replace(b"/echo", b"/absent") + b"ffff\r\n",
}


@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("place", SLOW_BODIES)
def test_body_that_is_not_complete_in_time_ends_its_connection(
    place: str, is_silent: bool
) -> None:
    """Guards against bodies that take a connection for good, byte by byte."""

    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream, anyio.create_task_group() as tasks:
            await stream.send(SLOW_BODIES[place])
            if not is_silent:
                tasks.start_soon(_trickle, stream)
            await read_to_end(stream)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_bounds, "BODY_GRACE_SECONDS", IDLE_SECONDS)
        run_with_server(client, SHORT_TIMES)


async def _trickle(stream: SocketStream) -> None:
    with contextlib.suppress(*CLOSED):
        while True:
            await stream.send(b"0")
            await anyio.sleep(IDLE_SECONDS / 10)


def test_body_that_is_late_for_an_application_without_a_limit_gets_408() -> None:
    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(CHUNKED)
            answer = await read_to_end(stream)
            assert answer.startswith(b"HTTP/1.1 408")
            assert b"outcome: not-run" in answer

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_bounds, "BODY_GRACE_SECONDS", 0.0)
        run_with_server(client, SHORT_TIMES)


def test_body_without_end_after_an_answer_closes_its_connection() -> None:
    """Guards against a client that sends at full speed what nobody wants."""
    bounds = ClientBounds(body_bytes=1000)

    async def client(address: str, _: HttpServer) -> None:
        async with await connect(address) as stream:
            await stream.send(SLOW_BODIES["answered"])
            assert (await stream.receive()).startswith(b"HTTP/1.1 404")
            await stream.send(b"a" * 2000)
            await read_to_end(stream)

    run_with_server(client, bounds)


def test_silent_connections_make_room_for_a_new_one() -> None:
    """Guards against clients that send nothing and keep all others away."""

    async def client(address: str, server: HttpServer) -> None:
        (clients,) = server.clients.values()
        silent = [await connect(address) for _ in range(4)]
        await silent[0].send(b"POST /echo HTTP/1.1\r\nHost:")
        assert await read_to_end(silent[0]) == b""
        async with await connect(address) as stream:
            await stream.send(build_echo(b"body", chunked=False))
            await read_until(stream, b"body")
            assert clients.count == 3 and not clients.rejects()

    run_with_server(client, ClientBounds(connections=3))


def test_connections_that_have_carried_a_request_do_not_make_room() -> None:
    """Guards against an answer that is cut off for a client that has sent nothing."""

    async def client(address: str, server: HttpServer) -> None:
        (clients,) = server.clients.values()
        async with await connect(address) as served:
            await served.send(SLOW)
            received = await served.receive()
            assert clients.rejects()
            with pytest.raises(CLOSED):
                await (await connect(address)).receive()
            Gate.opened.set()
            while not received.endswith(b"halfhalf"):
                received += await served.receive()
            await anyio.sleep(CHECK_SECONDS)
            assert clients.rejects()

    run_with_server(client, ClientBounds(connections=1))


def test_client_that_stops_reading_a_stream_is_dropped() -> None:
    """Guards against streams to clients that never read and keep their places."""

    async def client(address: str, server: HttpServer) -> None:
        (clients,) = server.clients.values()
        async with await connect(address) as stream:
            await stream.send(b"GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
            while clients.held == 0:
                await anyio.sleep(CHECK_SECONDS)
            while server.server.server_state.connections:
                await anyio.sleep(CHECK_SECONDS)
            assert clients.held == 0
            await anyio.sleep(CHECK_SECONDS)
            assert not server.server.server_state.tasks

    run_with_server(client, replace(SHORT_TIMES, held_bytes=200_000))


@pytest.mark.parametrize("size", [20_000, 300_000])
def test_compressed_message_has_room_or_is_refused(size: int) -> None:
    """Guards against small messages that become large ones."""

    async def client(address: str, _: HttpServer) -> None:
        body = zlib.compress(b'"%s"' % (b"a" * size))
        head = b"POST /message HTTP/1.1\r\nHost: a\r\nContent-Encoding: deflate\r\n"
        async with await connect(address) as stream:
            await stream.send(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            status = 200 if size < 100_000 else 503
            assert (await stream.receive()).startswith(b"HTTP/1.1 %d" % status)

    run_with_server(client, ClientBounds(held_bytes=100_000))


def test_large_answer_for_which_there_is_no_room_is_refused() -> None:
    """Guards against answers that clients ask for and do not read."""

    async def client(address: str, _: HttpServer) -> None:
        body = b'"%s"' % (b"a" * 60_000)
        head = b"POST /message HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        async with await connect(address) as stream:
            await stream.send(head % len(body) + body)
            assert (await stream.receive()).startswith(b"HTTP/1.1 504")

    run_with_server(client, ClientBounds(held_bytes=150_000))


def test_closed_connection_is_freed_at_once() -> None:
    """Guards against closed connections that keep their heads for the collector."""

    async def client(address: str, server: HttpServer) -> None:
        for sent in (SMALL_FIELDS, SMALL_FIELDS + b"\x00: ", build_echo(b"a", False)):
            async with await connect(address) as stream:
                await stream.send(sent)
                while not server.server.server_state.connections:
                    await anyio.sleep(CHECK_SECONDS)
                found = [weakref.ref(c) for c in server.server.server_state.connections]
            while server.server.server_state.connections:
                await anyio.sleep(CHECK_SECONDS)
            await anyio.sleep(CHECK_SECONDS)
            assert [reference() for reference in found if reference()] == []

    gc.disable()
    try:
        run_with_server(client)
    finally:
        gc.enable()
