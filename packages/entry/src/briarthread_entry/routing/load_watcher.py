"""Tasks that read the load reports of the watched targets."""

import random
from functools import partial

import anyio
from anyio.abc import TaskGroup

from briarthread_common.core.decoding import decode_json
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import (
    BrokenCallError,
    ChannelError,
    DecodeError,
)
from briarthread_common.core.task_supervisor import TaskSupervisor
from briarthread_common.http.channel import Channel, ChannelRequest
from briarthread_common.http.lines import read_lines
from briarthread_common.messages.load_report import LoadReport, heartbeat_interval
from briarthread_common.spread.feed_replicator import FeedReplicator
from briarthread_common.text.text_view import TextView
from briarthread_common.utils.clock import Clock
from briarthread_entry.routing.target_state import TargetState
from briarthread_entry.routing.target_table import TargetTable

REPORT_BYTES = 150
"""Bytes of one report on the wire, including TCP and IP headers."""
REPORT_BYTES_PER_SECOND = 1000
"""Budget of an entry for load reports, out of 3 KB per second for control traffic."""
MIN_INTERVAL_SECONDS = 0.25
HEARTBEAT_TIMEOUT_INTERVALS = 2.5
"""Heartbeat intervals without a line after which a target counts as down."""
RETRY_SECONDS = 1.0
REFRESH_SECONDS = 1.0
WATCH_TASK = "load-report"
"""Name of the tasks that read the reports of one target."""


def report_interval(watched: int) -> float:
    """
    Return the seconds between two reports that keep an entry within its budget.

    >>> report_interval(1)
    0.25
    >>> report_interval(62)
    9.3
    """
    return max(MIN_INTERVAL_SECONDS, watched * REPORT_BYTES / REPORT_BYTES_PER_SECOND)


class LoadWatcher:
    """Keep a stream of load reports open to the agent of each watched target."""

    def __init__(
        self,
        table: TargetTable,
        text: TextView,
        channel: Channel,
        replicator: FeedReplicator,
        clock: Clock,
        events: EventLog,
        rng: random.Random,
        supervisor: TaskSupervisor,
    ) -> None:
        self.table = table
        self.text = text
        self.channel = channel
        self.replicator = replicator
        self.clock = clock
        self.events = events
        self.rng = rng
        self.supervisor = supervisor
        self.scopes: dict[str, tuple[TargetState, anyio.CancelScope]] = {}

    async def run(self) -> None:
        """Watch the targets of the table until cancelled."""
        await self.replicator.started.wait()
        self.scopes.clear()
        async with anyio.create_task_group() as tasks:
            while True:
                self.refresh(tasks)
                await self._wait_for_change()

    def refresh(self, tasks: TaskGroup) -> None:
        """Start a task for each new target and stop those of removed targets."""
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

    async def _wait_for_change(self) -> None:
        with anyio.move_on_after(REFRESH_SECONDS):
            feed = self.table.directory.feed
            await feed.wait_for_newer(feed.number)

    async def _watch(self, state: TargetState, scope: anyio.CancelScope) -> None:
        with scope:
            await self.supervisor.keep_running(WATCH_TASK, partial(self._follow, state))

    async def _follow(self, state: TargetState) -> None:
        while True:
            try:
                await self._read_reports(state)
            except ChannelError as error:
                self._mark_down(state, str(error))
            except Exception:
                self._mark_down(state, "its reports cannot be read")
                raise
            await anyio.sleep(RETRY_SECONDS * self.rng.uniform(0.5, 1.5))

    async def _read_reports(self, state: TargetState) -> None:
        interval = report_interval(len(self.table.states))
        timeout = HEARTBEAT_TIMEOUT_INTERVALS * heartbeat_interval(interval)
        request = ChannelRequest(
            "GET", state.instance.address, f"/agent/v1/load?every={interval:.2f}"
        )
        async with self.channel.stream(request) as response:
            lines = read_lines(response.body)
            while True:
                with anyio.move_on_after(timeout):
                    line = await anext(lines, None)
                    self._apply_line(state, line)
                    continue
                raise BrokenCallError("no load report within the heartbeat timeout")

    def _apply_line(self, state: TargetState, line: bytes | None) -> None:
        if line is None:
            raise BrokenCallError("load report stream ended")
        try:
            report = decode_json(line, LoadReport)
        except DecodeError as error:
            raise BrokenCallError(f"invalid load report: {error}") from error
        if not state.connected:
            self.events.add("target-up", state.instance.name, report.i)
        elif report.d and state.report is not None and not state.report.d:
            self.events.add(
                "target-leaving",
                state.instance.name,
                "its agent reports that it is draining",
            )
        state.connected = True
        state.apply_report(report, self.clock.now())

    def _mark_down(self, state: TargetState, reason: str) -> None:
        if state.connected:
            self.events.add("target-down", state.instance.name, reason)
        state.connected = False
