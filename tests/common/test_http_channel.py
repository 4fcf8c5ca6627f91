"""Tests for the closing of a channel's connections, over real sockets."""

import contextlib
import socket
import subprocess
import sys
import threading
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

import anyio
import pytest

from briarthread_common.core.exceptions import ChannelError, RequestNotSentError
from briarthread_common.core.run_loop import run_loop
from briarthread_common.http.call_connection import RESET_ON_CLOSE
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.http_channel import HttpChannel

BODY = b"x" * 65536
LARGE_BODY = b"x" * 16 * 1024 * 1024
"""More than the kernel's send buffer holds, so that the rest waits in the process."""
RECEIVE_BUFFER_BYTES = 4096
"""Far smaller than BODY, so that most of a request waits in the sender's kernel."""
ABANDONED_AFTER_SECONDS = 0.1
TIMEOUT_SECONDS = 5.0
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

SEND_REQUEST = """
import sys
from briarthread_common.core.run_loop import run_loop
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.http.http_channel import HttpChannel

async def send():
    request = ChannelRequest("POST", sys.argv[1], "/", body=b"x" * int(sys.argv[2]))
    async with HttpChannel().stream(request):
        pass

run_loop(send)
"""
"""Program that sends a request to the address and of the size in its arguments."""


@dataclass(frozen=True, slots=True)
class Received:
    """What a target read from a connection, and whether it was reset."""

    data: bytes
    reset: bool


class SuspendedTarget:
    """Listen like a target whose kernel accepts connections while it is suspended."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.listener.settimeout(TIMEOUT_SECONDS)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()

    @property
    def address(self) -> str:
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def accept(self) -> socket.socket:
        connection, _ = self.listener.accept()
        connection.settimeout(TIMEOUT_SECONDS)
        return connection

    def read_to_end(self, connection: socket.socket) -> Received:
        parts = []
        try:
            while part := connection.recv(RECEIVE_BUFFER_BYTES):
                parts.append(part)
        except ConnectionResetError:
            return Received(b"".join(parts), reset=True)
        return Received(b"".join(parts), reset=False)


def run_with_target(
    client: Callable[[HttpChannel, SuspendedTarget], Awaitable[None]],
) -> None:
    """Run a client on uvloop, as the entry and the agent do."""

    async def scenario() -> None:
        target = SuspendedTarget()
        channel = HttpChannel()
        try:
            await client(channel, target)
        finally:
            await channel.close()
            target.listener.close()

    run_loop(scenario)


@pytest.mark.parametrize(
    "change",
    [
        {"headers": (("x-tenant", "\u82b1\u5712"),)},
        {"headers": (("x-tenant", "a\r\nx-more: b"),)},
        {"headers": (("x tenant", "a"),)},
        {"path": "/\u82b1"},
        {"path": "/a b"},
        {"address": "nowhere"},
        {"address": "127.0.0.1:" + "9" * 5000},
        {"address": "\u82b1:80"},
    ],
)
def test_request_that_cannot_be_sent_is_an_error_of_the_channel(
    change: dict[str, Any],
) -> None:
    """Guards against an error that no caller of the channel knows."""

    async def client(channel: HttpChannel, target: SuspendedTarget) -> None:
        request = ChannelRequest("POST", target.address, "/", body=b"x")
        with pytest.raises(RequestNotSentError):
            async with channel.stream(replace(request, **change)):
                pass
        target.listener.settimeout(0.0)
        with contextlib.suppress(BlockingIOError):
            assert target.read_to_end(target.accept()).data == b""

    run_with_target(client)


@pytest.mark.parametrize("new_connection", [True, False])
def test_request_is_not_delivered_after_it_was_abandoned(new_connection: bool) -> None:
    async def client(channel: HttpChannel, target: SuspendedTarget) -> None:
        request = ChannelRequest(
            "POST", target.address, "/", body=BODY, new_connection=new_connection
        )
        with anyio.move_on_after(ABANDONED_AFTER_SECONDS) as scope:
            async with channel.stream(request):
                pass
        assert scope.cancelled_caught
        received = target.read_to_end(target.accept())
        assert received.reset
        assert not received.data.endswith(BODY)

    run_with_target(client)


def test_large_body_that_its_target_never_reads_is_dropped_when_abandoned() -> None:
    """Guards against a body that stays in the buffer of an abandoned connection."""

    async def client(channel: HttpChannel, target: SuspendedTarget) -> None:
        request = ChannelRequest("POST", target.address, "/", body=LARGE_BODY)
        with anyio.move_on_after(ABANDONED_AFTER_SECONDS):
            async with channel.stream(request):
                pass
        assert channel.pools[target.address, False].connections == []
        received = target.read_to_end(target.accept())
        assert received.reset
        assert len(received.data) < len(LARGE_BODY) / 2

    run_with_target(client)


@pytest.mark.parametrize(
    "part",
    [
        pytest.param(b"", id="unanswered"),
        pytest.param(RESPONSE[:-2], id="answered in part"),
        pytest.param(RESPONSE, id="answered but not read"),
    ],
)
def test_connection_of_an_abandoned_response_is_reset(part: bytes) -> None:
    async def client(channel: HttpChannel, target: SuspendedTarget) -> None:
        request = ChannelRequest("GET", target.address, "/", body=None)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_read_head, channel, request, part == b"")
            await anyio.sleep(ABANDONED_AFTER_SECONDS)
            connection = target.accept()
            connection.sendall(part)
            await anyio.sleep(ABANDONED_AFTER_SECONDS)
            tasks.cancel_scope.cancel()
        assert target.read_to_end(connection).reset

    run_with_target(client)


async def _read_head(channel: HttpChannel, request: ChannelRequest, wait: bool) -> None:
    async with channel.stream(request):
        if wait:
            await anyio.sleep_forever()


@pytest.mark.parametrize("new_connection", [True, False])
def test_connection_of_a_complete_response_is_closed_without_a_reset(
    new_connection: bool,
) -> None:
    async def client(channel: HttpChannel, target: SuspendedTarget) -> None:
        request = ChannelRequest(
            "GET", target.address, "/", body=None, new_connection=new_connection
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_read_response, channel, request)
            await anyio.sleep(ABANDONED_AFTER_SECONDS)
            connection = target.accept()
            connection.sendall(RESPONSE)
        await channel.close()
        received = target.read_to_end(connection)
        assert received.data.startswith(b"GET / ") and not received.reset

    run_with_target(client)


def test_request_of_a_killed_process_is_not_delivered() -> None:
    target = SuspendedTarget()
    process = subprocess.Popen(
        [sys.executable, "-c", SEND_REQUEST, target.address, str(len(BODY))]
    )
    connection = target.accept()
    assert connection.recv(1)
    process.kill()
    process.wait()
    received = target.read_to_end(connection)
    assert received.reset
    assert not received.data.endswith(BODY)
    target.listener.close()


def test_connection_that_its_target_has_reset_is_closed_without_an_error() -> None:
    async def client(channel: HttpChannel, target: SuspendedTarget) -> None:
        request = ChannelRequest("GET", target.address, "/", body=None)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_read_response, channel, request)
            await anyio.sleep(ABANDONED_AFTER_SECONDS)
            connection = target.accept()
            connection.sendall(RESPONSE)
        connection.setsockopt(*RESET_ON_CLOSE)
        connection.close()
        await anyio.sleep(ABANDONED_AFTER_SECONDS)
        await channel.close()

    run_with_target(client)


async def _read_response(channel: HttpChannel, request: ChannelRequest) -> None:
    async with channel.stream(request) as response:
        assert [chunk async for chunk in response.body] == [b"hello"]


def test_connection_that_is_reset_at_once_fails_as_a_call() -> None:
    """Guards against an error that is no channel error and ends the process."""
    calls = 200

    def reset_all(listener: socket.socket) -> None:
        for _ in range(calls):
            connection, _ = listener.accept()
            connection.setsockopt(*RESET_ON_CLOSE)
            connection.close()

    async def scenario() -> None:
        channel = HttpChannel()
        failures = 0
        for _ in range(calls):
            with pytest.raises(ChannelError):
                async with channel.stream(ChannelRequest("GET", address, "/")):
                    pass
            failures += 1
        assert failures == calls

    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        thread = threading.Thread(target=reset_all, args=(listener,), daemon=True)
        thread.start()
        run_loop(scenario)
