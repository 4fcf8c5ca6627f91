"""A report that is sent as lines over a held call whenever it changes."""

from collections.abc import AsyncIterator, Callable
from typing import Generic, TypeVar

import anyio
import msgspec

from briarthread_common.core.exceptions import BrokenCallError
from briarthread_common.http.call import Call
from briarthread_common.http.channel import Channel, ChannelRequest
from briarthread_common.http.lines import read_lines

T = TypeVar("T")

HEARTBEAT_SECONDS = 1.0
"""Longest time between two lines, by which a reader knows that this lives."""
REPORT_TIMEOUT_SECONDS = 1.5
"""Silence after which a reporter counts as lost: it sends a line each second,
and half a second more is what a busy link may take."""


class ReportStream(Generic[T]):
    """
    Send a line whenever a report has changed, and one each second.

    ``current`` gives the report, ``same`` tells whether a newer one is worth a
    line, and ``every`` is the shortest time between two lines in seconds.
    ``closed`` can be shared by several that end together.
    """

    def __init__(
        self,
        current: Callable[[], T],
        same: Callable[[T, T], bool],
        every: float,
        closed: anyio.Event | None = None,
    ) -> None:
        self.current = current
        self.same = same
        self.every = every
        self.closed = closed or anyio.Event()

    def close(self) -> None:
        """End all streams, so that the server's stop need not wait for them."""
        self.closed.set()

    async def handle(self, call: Call) -> None:
        """Send lines until the reader hangs up."""
        await call.start(200, [("content-type", "application/x-ndjson")])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_lines, call)
            tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
            await self.closed.wait()
            tasks.cancel_scope.cancel()
        await call.finish()

    async def _send_lines(self, call: Call) -> None:
        while True:
            sent = self.current()
            await call.send_chunk(msgspec.json.encode(sent) + b"\n")
            with anyio.move_on_after(HEARTBEAT_SECONDS):
                await self._wait_change(sent)

    async def _wait_change(self, sent: T) -> None:
        await anyio.sleep(self.every)
        while self.same(sent, self.current()):
            await anyio.sleep(self.every)


async def read_report_stream(
    channel: Channel, address: str, path: str, report: type[T]
) -> AsyncIterator[T]:
    """
    Give the reports of a stream as they come.

    Raise BrokenCallError when it ends, falls silent or cannot be read.
    """
    request = ChannelRequest("GET", address, path, body=None)
    async with channel.stream(request) as response:
        lines = read_lines(response.body)
        while True:
            yield _decode(await _next_line(lines), report)


async def _next_line(lines: AsyncIterator[bytes]) -> bytes:
    line = None
    with anyio.move_on_after(REPORT_TIMEOUT_SECONDS) as patience:
        line = await anext(lines, None)
    if patience.cancelled_caught:
        raise BrokenCallError("no report for too long")
    if line is None:
        raise BrokenCallError("the stream of reports ended")
    return line


def _decode(line: bytes, report: type[T]) -> T:
    try:
        return msgspec.json.decode(line, type=report)
    except msgspec.MsgspecError as error:
        raise BrokenCallError(f"broken report: {error}") from error
