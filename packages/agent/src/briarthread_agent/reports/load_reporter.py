"""Load reports of the agent, single and as a stream."""

import anyio
import msgspec

from briarthread_agent.limits.fair_queue import FairQueue
from briarthread_agent.limits.target_backoff import TargetBackoff
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.http.call import Call
from briarthread_common.messages.load_report import LoadReport, heartbeat_interval

MIN_INTERVAL = 0.05
"""Shortest interval in seconds that an entry may request."""
MAX_INTERVAL = 60.0
"""Longest interval in seconds that an entry may request."""
MIN_LOAD_CHANGE = 0.1
"""Relative change of the load above which a new line is sent."""


class LoadReporter:
    """
    Report the load to entries, with each response and in streams that they open.

    A stream gets a line when the load has changed by more than ``MIN_LOAD_CHANGE``, at
    most once per interval that the entry requested, and a heartbeat line when nothing
    has changed. The start of draining and a backoff requested by the target are
    reported at once.
    """

    def __init__(
        self, incarnation: str, queue: FairQueue, backoff: TargetBackoff
    ) -> None:
        self.incarnation = incarnation
        self.queue = queue
        self.backoff = backoff
        self.sequence = 0
        self.draining = False
        self.drain_announced = anyio.Event()
        self.closed = anyio.Event()

    def report(self) -> LoadReport:
        """Return the current load with the next sequence number."""
        self.sequence += 1
        return LoadReport(
            i=self.incarnation,
            n=self.sequence,
            r=self.queue.running,
            q=len(self.queue.waiting),
            s=self.queue.slots,
            m=round(self.queue.mean_service_time() * 1000, 2),
            d=self.draining,
            b=round(self.backoff.seconds_left(), 3),
        )

    def announce_drain(self) -> None:
        """Report from now on that the agent is draining."""
        self.draining = True
        self.drain_announced.set()

    def close(self) -> None:
        """End all streams, so that the server does not wait for them when it stops."""
        self.closed.set()

    async def handle_stream(self, call: Call) -> None:
        """Send lines until the entry disconnects or the reporter is closed."""
        interval = _read_interval(call.query)
        await call.start(200, [("content-type", "application/x-ndjson")])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_lines, call, interval)
            tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
            await self.closed.wait()
            tasks.cancel_scope.cancel()
        await call.finish()

    async def _send_lines(self, call: Call, interval: float) -> None:
        while True:
            sent = self.report()
            await call.send_chunk(msgspec.json.encode(sent) + b"\n")
            await self._wait_for_change(sent, interval)

    async def _wait_for_change(self, sent: LoadReport, interval: float) -> None:
        with anyio.move_on_after(heartbeat_interval(interval)):
            while True:
                extended = await self._wait_interval(interval)
                if extended or self.draining != sent.d or self._load_changed(sent):
                    return

    async def _wait_interval(self, interval: float) -> bool:
        """Wait for the next check; return whether the target requested a backoff."""
        if self.draining:
            await anyio.sleep(interval)
            return False
        extended = self.backoff.extended
        with anyio.move_on_after(interval):
            async with anyio.create_task_group() as tasks:
                for event in (self.drain_announced, extended):
                    tasks.start_soon(_cancel_on, event, tasks.cancel_scope)
        return extended.is_set()

    def _load_changed(self, sent: LoadReport) -> bool:
        load = self.queue.running + len(self.queue.waiting)
        before = sent.r + sent.q
        return abs(load - before) > MIN_LOAD_CHANGE * max(before, 1)


async def _cancel_on(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


def _read_interval(query: str) -> float:
    name, _, raw = query.partition("=")
    try:
        seconds = float(raw) if name == "every" else 1.0
    except ValueError as error:
        raise RequestError(
            ErrorKind.BAD_REQUEST, "every must be a number of seconds"
        ) from error
    return min(max(seconds, MIN_INTERVAL), MAX_INTERVAL)
