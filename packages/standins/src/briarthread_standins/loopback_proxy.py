"""Loopback proxy that disturbs the connections to one target."""

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from briarthread_common.http.call_connection import RESET_ON_CLOSE

CHUNK_BYTES = 65536
HOLD_POLL_SECONDS = 0.02
"""Interval at which a held direction checks whether it is open again."""


class LoopbackProxy:
    """
    Forward connections to a target, and hold their bytes like an interrupted path.

    Bytes that are held are delivered once the path is open again, unless their sender
    has reset the connection meanwhile; then they are lost, as on a real network. New
    connections are accepted while the path is held, as by the kernel of a suspended
    machine. ``delay`` is added to each direction, in seconds.
    """

    def __init__(self, target_host: str, target_port: int) -> None:
        self.target_host = target_host
        self.target_port = target_port
        self.hold_to_target = False
        self.hold_to_caller = False
        self.delay = 0.0
        self.streams: set[SocketStream] = set()

    async def reset_connections(self) -> None:
        """Reset every connection."""
        for stream in list(self.streams):
            await _reset(stream)

    async def serve(self, listener: SocketListener, tasks: TaskGroup) -> None:
        """Accept connections until cancelled."""
        await listener.serve(self._handle, tasks)

    async def _handle(self, caller: SocketStream) -> None:
        try:
            target = await anyio.connect_tcp(self.target_host, self.target_port)
        except OSError:
            await _reset(caller)
            return
        self.streams |= {caller, target}
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward, caller, target, True)
                tasks.start_soon(self._forward, target, caller, False)
        finally:
            self.streams -= {caller, target}
            await caller.aclose()
            await target.aclose()

    async def _forward(
        self, source: SocketStream, sink: SocketStream, towards_target: bool
    ) -> None:
        """Forward one direction; pass a close on as a close and a reset as a reset."""
        try:
            while chunk := await self._receive(source, towards_target):
                await sink.send(chunk)
            await _end(sink)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._wait_until_open(towards_target)
            await _reset(sink)

    async def _receive(self, source: SocketStream, towards_target: bool) -> bytes:
        """
        Return the bytes to deliver next, none at the end of the connection.

        While the path is held, bytes are collected. If the source resets the
        connection meanwhile they are dropped.
        """
        try:
            collected = await source.receive(CHUNK_BYTES)
        except anyio.EndOfStream:
            await self._wait_until_open(towards_target)
            return b""
        await anyio.sleep(self.delay)
        while self._is_held(towards_target):
            try:
                with anyio.move_on_after(HOLD_POLL_SECONDS):
                    collected += await source.receive(CHUNK_BYTES)
            except anyio.EndOfStream:
                await self._wait_until_open(towards_target)
        return collected

    def _is_held(self, towards_target: bool) -> bool:
        return self.hold_to_target if towards_target else self.hold_to_caller

    async def _wait_until_open(self, towards_target: bool) -> None:
        while self._is_held(towards_target):
            await anyio.sleep(HOLD_POLL_SECONDS)


async def _end(stream: SocketStream) -> None:
    try:
        await stream.send_eof()
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


async def _reset(stream: SocketStream) -> None:
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    if raw_socket.fileno() >= 0:
        raw_socket.setsockopt(*RESET_ON_CLOSE)
    await stream.aclose()
