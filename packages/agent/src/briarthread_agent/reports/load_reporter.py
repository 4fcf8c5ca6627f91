"""The agent's load, as a value and as a stream."""

import anyio
import msgspec

from briarthread_agent.limits.fair_queue import FairQueue
from briarthread_agent.limits.target_backoff import TargetBackoff
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.http.call import Call
from briarthread_common.messages.load_report import LoadReport, heartbeat_interval

MIN_INTERVAL = 0.05
MAX_INTERVAL = 60.0
MIN_LOAD_CHANGE = 0.1
"""Part of the load by which it must change before a line is worth sending."""


class LoadReporter:
    """
    Tell entries of the load: with each answer, and in streams that they hold.

    A stream carries a line when the load has changed noticeably, at most
    once in the interval that the entry asked for, and a heartbeat line when
    nothing changed. That the agent drains, or its target requested a backoff, goes out
    at once.
    """

    def __init__(
        self, incarnation: str, queue: FairQueue, backoff: TargetBackoff
    ) -> None:
        self.incarnation = incarnation
        self.queue = queue
        self.backoff = backoff
        self.number = 0
        self.draining = False
        self.drain_announced = anyio.Event()
        self.closed = anyio.Event()

    def report(self) -> LoadReport:
        """Return the load now, under the next number."""
        self.number += 1
        return LoadReport(
            i=self.incarnation,
            n=self.number,
            r=self.queue.running,
            q=len(self.queue.waiting),
            s=self.queue.slots,
            m=round(self.queue.mean_service_time() * 1000, 2),
            d=self.draining,
            b=round(self.backoff.seconds_left(), 3),
        )

    def announce_drain(self) -> None:
        """Say from now on that the agent leaves."""
        self.draining = True
        self.drain_announced.set()

    def close(self) -> None:
        """End all streams, so that the server's stop need not wait for them."""
        self.closed.set()

    async def handle_stream(self, call: Call) -> None:
        """Send lines until the entry hangs up."""
        every = _interval(call.query)
        await call.start(200, [("content-type", "application/x-ndjson")])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_lines, call, every)
            tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
            await self.closed.wait()
            tasks.cancel_scope.cancel()
        await call.finish()

    async def _send_lines(self, call: Call, every: float) -> None:
        while True:
            sent = self.report()
            await call.send_chunk(msgspec.json.encode(sent) + b"\n")
            await self._wait_worth_sending(sent, every)

    async def _wait_worth_sending(self, sent: LoadReport, every: float) -> None:
        with anyio.move_on_after(heartbeat_interval(every)):
            while True:
                extended = await self._pause(every)
                if extended or self.draining != sent.d or self._changed(sent):
                    return

    async def _pause(self, every: float) -> bool:
        """Wait for the next line; return whether the target requested a backoff."""
        if self.draining:
            await anyio.sleep(every)
            return False
        extended = self.backoff.extended
        with anyio.move_on_after(every):
            async with anyio.create_task_group() as tasks:
                for event in (self.drain_announced, extended):
                    tasks.start_soon(_cancel_on, event, tasks.cancel_scope)
        return extended.is_set()

    def _changed(self, sent: LoadReport) -> bool:
        load = self.queue.running + len(self.queue.waiting)
        before = sent.r + sent.q
        return abs(load - before) > MIN_LOAD_CHANGE * max(before, 1)


async def _cancel_on(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


def _interval(query: str) -> float:
    name, _, raw = query.partition("=")
    try:
        seconds = float(raw) if name == "every" else 1.0
    except ValueError as error:
        raise RequestError(ErrorKind.BAD_REQUEST, "every takes seconds") from error
    return min(max(seconds, MIN_INTERVAL), MAX_INTERVAL)
