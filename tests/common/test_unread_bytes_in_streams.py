"""Parts of interim responses and full reads on a kept connection, real sockets."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import anyio

from briarthread_common.core.exceptions import ForeignResponseError
from briarthread_common.core.run_loop import run_loop
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.http_channel import HttpChannel

LOOP_READ_BYTES = 256_000
"""Most bytes that uvloop reads at a time."""
WARM_BYTES = 8_000_000
"""Bytes after which the kernel's receive buffer holds more than one such read."""
BUSY_SECONDS = 0.3
CALL_SECONDS = 2.0
CUT_IN_INTERIM = b"HTTP/1.1 103 Early Hi"


def build_answer(request_id: str, status: int, body: bytes) -> bytes:
    head = (
        f"HTTP/1.1 {status} Reason\r\nX-Request-Id: {request_id}\r\n"
        f"X-Server-Stamp: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def build_whole(request_id: str, total: int) -> bytes:
    """Return an answer whose head and body have a size in bytes."""
    for size in range(total - 200, total):
        answer = build_answer(request_id, 200, b"." * size)
        if len(answer) == total:
            return answer
    raise ValueError(total)


@contextmanager
def run_target(
    answer: Callable[[int, socket.socket], None],
) -> Iterator[tuple[str, list[int]]]:
    """Serve calls in threads; yield the address and the connection of each call."""
    calls: list[int] = []
    connections = 0

    def serve(connection: socket.socket, number: int) -> None:
        reader = connection.makefile("rb")
        try:
            while reader.readline():
                while reader.readline() not in (b"\r\n", b""):
                    pass
                calls.append(number)
                answer(len(calls), connection)
        except OSError:
            return

    with socket.create_server(("127.0.0.1", 0)) as listener:

        def accept() -> None:
            nonlocal connections
            while True:
                try:
                    connection = listener.accept()[0]
                except OSError:
                    return
                connections += 1
                threading.Thread(
                    target=serve, args=(connection, connections), daemon=True
                ).start()

        threading.Thread(target=accept, daemon=True).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}", calls


async def call(channel: HttpChannel, address: str, number: int) -> int:
    """Return the status of a whole response that names this call."""
    request = ChannelRequest(
        "GET", address, "/", (("x-request-id", str(number)),), body=None
    )
    async with channel.stream(request) as response:
        ids = {value for name, value in response.fields if name == "x-request-id"}
        if ids != {str(number)}:
            raise ForeignResponseError("response to another call")
        async for _ in response.body:
            pass
        return response.status


def test_call_is_not_sent_where_bytes_wait_in_the_stream() -> None:
    """Guards against surplus bytes in a second read that a busy loop takes at once."""

    def answer(number: int, connection: socket.socket) -> None:
        if number == 1:
            connection.sendall(build_answer("1", 200, b"." * WARM_BYTES))
        elif number == 2:
            whole = build_whole("2", LOOP_READ_BYTES)
            connection.sendall(whole + whole[:20])
        else:
            connection.sendall(build_answer(str(number), 404, b"none"))

    async def play() -> None:
        with run_target(answer) as (address, calls):
            channel = HttpChannel()
            assert await call(channel, address, 1) == 200
            async with anyio.create_task_group() as tasks:

                async def keep_busy() -> None:
                    await anyio.sleep(0.001)
                    time.sleep(BUSY_SECONDS)

                tasks.start_soon(keep_busy)
                assert await call(channel, address, 2) == 200
            assert await call(channel, address, 3) == 404
            assert calls == [1, 1, 2]
            await channel.close()

    run_loop(play)


def test_part_of_an_interim_response_takes_no_head_of_an_answer() -> None:
    """Guards against the body of a failure that is read as the head of a success."""

    def answer(number: int, connection: socket.socket) -> None:
        if number == 1:
            connection.sendall(build_answer("1", 200, b"first"))
        else:
            quoted = build_answer(str(number), 200, b"")
            late = CUT_IN_INTERIM if number == 2 else b""
            connection.sendall(late + build_answer(str(number), 404, quoted))

    async def play() -> None:
        with run_target(answer) as (address, _):
            channel = HttpChannel()
            assert await call(channel, address, 1) == 200
            try:
                status = await call(channel, address, 2)
            except ForeignResponseError:
                status = 404
            assert status == 404
            await channel.close()

    run_loop(play)


def test_part_of_an_interim_response_holds_no_call_until_its_deadline() -> None:
    """Guards against a wait for a head that has been taken for an interim one."""

    def answer(number: int, connection: socket.socket) -> None:
        late = CUT_IN_INTERIM if number == 2 else b""
        connection.sendall(late + build_answer(str(number), 200, b"body"))

    async def play() -> None:
        with run_target(answer) as (address, _):
            channel = HttpChannel()
            assert await call(channel, address, 1) == 200
            with anyio.fail_after(CALL_SECONDS):
                with suppress(ForeignResponseError):
                    assert await call(channel, address, 2) == 200
            await channel.close()

    run_loop(play)


def test_call_given_up_after_an_interim_response_costs_no_trust() -> None:
    """Guards against a handshake for each call at a target that is sound but slow."""

    def answer(number: int, connection: socket.socket) -> None:
        if number == 2:
            connection.sendall(b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n")
            time.sleep(1.0)
        connection.sendall(build_answer(str(number), 200, b"body"))

    async def play() -> None:
        with run_target(answer) as (address, _):
            channel = HttpChannel()
            assert await call(channel, address, 1) == 200
            with anyio.move_on_after(0.2):
                await call(channel, address, 2)
            assert not channel.distrusted_until
            await channel.close()

    run_loop(play)


def test_answers_in_chunks_to_head_requests_cost_no_connections() -> None:
    """Guards against an end that is never found where a response has no body."""

    def answer(number: int, connection: socket.socket) -> None:
        head = f"HTTP/1.1 200 R\r\nX-Request-Id: {number}\r\n"
        connection.sendall(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")

    async def play() -> None:
        with run_target(answer) as (address, calls):
            channel = HttpChannel()
            for number in (1, 2, 3):
                headers = (("x-request-id", str(number)),)
                request = ChannelRequest("HEAD", address, "/", headers, body=None)
                async with channel.stream(request) as response:
                    async for _ in response.body:
                        pass
            assert calls == [1, 1, 1]
            await channel.close()

    run_loop(play)
