"""Streams of reports, sent as JSON lines in the response to a long-lived call."""

from collections.abc import AsyncIterator, Callable
from typing import Generic, TypeVar

import anyio
import msgspec

from briarthread_common.core.decoding import decode_json
from briarthread_common.core.exceptions import BrokenCallError, DecodeError
from briarthread_common.http.call import Call
from briarthread_common.http.channel import Channel, ChannelRequest
from briarthread_common.http.lines import read_lines

T = TypeVar("T")

HEARTBEAT_SECONDS = 1.0
"""Longest time between two lines, so that readers can detect a lost reporter."""
REPORT_TIMEOUT_SECONDS = 1.5
"""Time without a line after which a reporter counts as lost. It sends a line each
second, and a busy link may delay that by another half second."""


class ReportStream(Generic[T]):
    """
    Send a line when a report has changed, and at least one each second.

    ``get_report`` returns the current report, ``is_unchanged`` compares the last one
    sent with the current one, and ``min_interval`` is the shortest time between two
    lines in seconds. Streams that share ``closed`` end together.
    """

    def __init__(
        self,
        get_report: Callable[[], T],
        is_unchanged: Callable[[T, T], bool],
        min_interval: float,
        closed: anyio.Event | None = None,
    ) -> None:
        self.get_report = get_report
        self.is_unchanged = is_unchanged
        self.min_interval = min_interval
        self.closed = closed or anyio.Event()

    def close(self) -> None:
        """End all streams, so that they don't delay the server's shutdown."""
        self.closed.set()

    async def handle(self, call: Call) -> None:
        """Send lines until the reader disconnects or the stream is closed."""
        await call.start(200, [("content-type", "application/x-ndjson")])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_lines, call)
            tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
            await self.closed.wait()
            tasks.cancel_scope.cancel()
        await call.finish()

    async def _send_lines(self, call: Call) -> None:
        while True:
            sent = self.get_report()
            await call.send_chunk(msgspec.json.encode(sent) + b"\n")
            with anyio.move_on_after(HEARTBEAT_SECONDS):
                await self._wait_for_change(sent)

    async def _wait_for_change(self, sent: T) -> None:
        await anyio.sleep(self.min_interval)
        while self.is_unchanged(sent, self.get_report()):
            await anyio.sleep(self.min_interval)


async def read_report_stream(
    channel: Channel, address: str, path: str, report: type[T]
) -> AsyncIterator[T]:
    """
    Yield the reports of a stream as they arrive.

    Raise BrokenCallError when the stream ends, sends no line for
    REPORT_TIMEOUT_SECONDS or contains an invalid report.
    """
    request = ChannelRequest("GET", address, path, body=None)
    async with channel.stream(request) as response:
        lines = read_lines(response.body)
        while True:
            yield _decode(await _next_line(lines), report)


async def _next_line(lines: AsyncIterator[bytes]) -> bytes:
    line = None
    with anyio.move_on_after(REPORT_TIMEOUT_SECONDS) as timeout:
        line = await anext(lines, None)
    if timeout.cancelled_caught:
        raise BrokenCallError("no report within the time limit")
    if line is None:
        raise BrokenCallError("the stream of reports ended")
    return line


def _decode(line: bytes, report: type[T]) -> T:
    try:
        return decode_json(line, report)
    except DecodeError as error:
        raise BrokenCallError(f"invalid report: {error}") from error
