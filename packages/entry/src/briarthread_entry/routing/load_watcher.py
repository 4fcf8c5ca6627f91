"""The tasks that follow the load of the watched targets."""

import random

import anyio
import msgspec
from anyio.abc import TaskGroup

from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import BrokenCallError, ChannelError
from briarthread_common.http.channel import Channel, ChannelRequest
from briarthread_common.http.lines import read_lines
from briarthread_common.messages.load_report import LoadReport, heartbeat_interval
from briarthread_common.spread.spreader import Spreader
from briarthread_common.text.text_view import TextView
from briarthread_common.utils.clock import Clock
from briarthread_entry.routing.target_state import TargetState
from briarthread_entry.routing.target_table import TargetTable

REPORT_BYTES = 150
"""Bytes of one report on the wire, headers of TCP and IP included."""
REPORT_BYTES_PER_SECOND = 1000
"""Bytes a second that an entry spends on reports, of the 3 KB for control."""
MIN_INTERVAL = 0.25
MAX_MISSED_HEARTBEATS = 2.5
"""Heartbeats without a line after which a target counts as down."""
RETRY_SECONDS = 1.0
REFRESH_SECONDS = 1.0


def report_interval(watched: int) -> float:
    """
    Return the seconds between reports that keep an entry in its budget.

    >>> report_interval(1)
    0.25
    >>> report_interval(62)
    9.3
    """
    return max(MIN_INTERVAL, watched * REPORT_BYTES / REPORT_BYTES_PER_SECOND)


class LoadWatcher:
    """Hold a stream of load reports to each watched target."""

    def __init__(
        self,
        table: TargetTable,
        text: TextView,
        channel: Channel,
        replicator: Spreader,
        clock: Clock,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.text = text
        self.channel = channel
        self.replicator = replicator
        self.clock = clock
        self.events = events
        self.rng = rng
        self.scopes: dict[str, tuple[TargetState, anyio.CancelScope]] = {}

    async def run(self) -> None:
        """Watch the targets of the table until cancelled."""
        await self.replicator.started.wait()
        async with anyio.create_task_group() as tasks:
            while True:
                self.refresh(tasks)
                await self._wait_change()

    def refresh(self, tasks: TaskGroup) -> None:
        """Start a task for each new target and stop those of gone ones."""
        self.table.refresh(self.text.current())
        for name, (state, scope) in list(self.scopes.items()):
            if self.table.states.get(name) is not state:
                scope.cancel()
                del self.scopes[name]
        for name, state in self.table.states.items():
            if name not in self.scopes:
                scope = anyio.CancelScope()
                self.scopes[name] = (state, scope)
                tasks.start_soon(self._watch, state, scope)

    async def _wait_change(self) -> None:
        with anyio.move_on_after(REFRESH_SECONDS):
            feed = self.table.directory.feed
            await feed.wait_beyond(feed.number)

    async def _watch(self, state: TargetState, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                try:
                    await self._follow(state)
                except ChannelError as error:
                    self._note_down(state, str(error))
                await anyio.sleep(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))

    async def _follow(self, state: TargetState) -> None:
        every = report_interval(len(self.table.states))
        silence = MAX_MISSED_HEARTBEATS * heartbeat_interval(every)
        request = ChannelRequest(
            "GET", state.instance.address, f"/agent/v1/load?every={every:.2f}"
        )
        async with self.channel.stream(request) as response:
            lines = read_lines(response.body)
            while True:
                with anyio.move_on_after(silence):
                    line = await anext(lines, None)
                    self._take_line(state, line)
                    continue
                raise BrokenCallError("no report for too long")

    def _take_line(self, state: TargetState, line: bytes | None) -> None:
        if line is None:
            raise BrokenCallError("report stream ended")
        try:
            report = msgspec.json.decode(line, type=LoadReport)
        except msgspec.MsgspecError as error:
            raise BrokenCallError(f"broken report: {error}") from error
        if not state.connected:
            self.events.add("target-up", state.instance.name, report.i)
        elif report.d and state.report is not None and not state.report.d:
            self.events.add("target-leaving", state.instance.name, "it said so")
        state.connected = True
        state.apply_report(report, self.clock.now())

    def _note_down(self, state: TargetState, reason: str) -> None:
        if state.connected:
            self.events.add("target-down", state.instance.name, reason)
        state.connected = False
