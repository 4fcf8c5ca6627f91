"""A crowd of clients that do not behave, before one address."""

import contextlib
import itertools
import socket
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from crowds.client_bytes import BATCH_BYTES, CLIENT_BYTES, ClientBytes, ClientKind

RECONNECT_SECONDS = 0.1
SLOW_SECONDS = 0.05
"""Pause in seconds between two pieces of a slow client."""
CLOSED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


@dataclass(frozen=True, slots=True)
class Behaviour:
    """
    What each client of a crowd does on each of its connections.

    It sends ``most_bytes`` as fast as they are taken, or with ``slow`` piece by piece,
    and then nothing more until the connection is closed. It does not read if
    ``reads`` is false.
    """

    kind: ClientKind
    most_bytes: int
    slow: bool = False
    reads: bool = True

    def __str__(self) -> str:
        pace = "slow" if self.slow else f"{self.most_bytes // 1024}-KiB"
        return f"{self.kind}-{pace}{'' if self.reads else '-unread'}"


async def press(address: str, behaviour: Behaviour, size: int, seconds: float) -> None:
    """Let a crowd of that size press on an address; it is gone afterwards."""
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as clients:
            for _ in range(size):
                clients.start_soon(_run_client, address, behaviour)


async def _run_client(address: str, behaviour: Behaviour) -> None:
    """Open one connection after the other until cancelled."""
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError, *CLOSED):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await _use(stream, behaviour)
        await anyio.sleep(RECONNECT_SECONDS)


async def _use(stream: SocketStream, behaviour: Behaviour) -> None:
    """Send on a connection until it is closed."""
    async with anyio.create_task_group() as tasks:
        if behaviour.reads:
            tasks.start_soon(_read, stream, tasks.cancel_scope)
        else:
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            await _send(stream, behaviour)
        except CLOSED:
            tasks.cancel_scope.cancel()
            return
        await anyio.sleep_forever()


async def _read(stream: SocketStream, scope: anyio.CancelScope) -> None:
    """Discard what comes; cancel a scope once the connection is closed."""
    with contextlib.suppress(*CLOSED):
        while True:
            await stream.receive()
    scope.cancel()


async def _send(stream: SocketStream, behaviour: Behaviour) -> None:
    content: ClientBytes = CLIENT_BYTES[behaviour.kind]
    if content.begin:
        await stream.send(content.begin)
    if behaviour.slow:
        for number in itertools.count():
            await stream.send(content.piece(number))
            await anyio.sleep(SLOW_SECONDS)
    sent = len(content.begin)
    number = 0
    while sent < behaviour.most_bytes:
        batch = content.batch(number, min(BATCH_BYTES, behaviour.most_bytes - sent))
        await stream.send(batch)
        sent += len(batch)
        number += len(batch)
