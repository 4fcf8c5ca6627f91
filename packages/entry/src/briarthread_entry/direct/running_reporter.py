"""The stream of reports that an entry gives to the others."""

from collections.abc import Callable

import anyio
import msgspec

from briarthread_common.http.call import Call
from briarthread_common.messages.running_report import RunningReport

RUNNING_PATH = "/peer/v1/running"
REPORT_SECONDS = 0.1
"""Shortest time between two lines: three requests come in a tenth of a second
at the users' sites, so that the entries' counts are that far apart at most."""
HEARTBEAT_SECONDS = 1.0
"""Longest time between two lines, by which a reader knows that this lives."""


class RunningReporter:
    """Send a line whenever the counts have changed, and one each second."""

    def __init__(self, current: Callable[[], RunningReport]) -> None:
        self.current = current
        self.closed = anyio.Event()

    def close(self) -> None:
        """End all streams, so that the server's stop need not wait for them."""
        self.closed.set()

    async def handle_stream(self, call: Call) -> None:
        """Send lines until the other entry hangs up."""
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

    async def _wait_change(self, sent: RunningReport) -> None:
        await anyio.sleep(REPORT_SECONDS)
        while self.current().running == sent.running:
            await anyio.sleep(REPORT_SECONDS)
