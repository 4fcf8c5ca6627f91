"""What an entry tells other entries of what is running."""

from collections.abc import Callable

import anyio

from briarthread_common.http.app import Route
from briarthread_common.http.call import Call
from briarthread_common.http.report_stream import ReportStream
from briarthread_common.messages.running_report import (
    BLOCK_PATH,
    OTHERS_PATH,
    RUNNING_PATH,
    RunningReport,
    merge_reports,
)
from briarthread_entry.direct.peer_reports import PeerReports
from briarthread_entry.direct.running_watcher import RunningWatcher

REPORT_INTERVAL_SECONDS = 0.1
"""Minimum interval between two running reports, in seconds. A longer interval lets
the counts held by different entries drift further apart."""
SUM_INTERVAL_SECONDS = 0.25
"""The same for sums over many entries, which change with every request of each:
streams last some ten times as long."""
COLLECTOR_START_SECONDS = 0.4
"""How long one that is taken for a collector gathers reports before it tells a
sum: calls to the entries of its block take some hundredths of a second."""


class RunningReporter:
    """
    Answer those who follow what runs at this entry, its block or all entries.

    ``own_report`` gives what this entry has running itself.
    """

    def __init__(
        self,
        own_report: Callable[[], RunningReport],
        peer_reports: PeerReports,
        watcher: RunningWatcher,
    ) -> None:
        self.own_report = own_report
        self.peer_reports = peer_reports
        self.watcher = watcher
        self.closed = anyio.Event()
        self.own_stream = ReportStream(
            own_report, RunningReport.same_as, REPORT_INTERVAL_SECONDS, self.closed
        )
        self.block_stream = ReportStream(
            self._block, RunningReport.same_as, SUM_INTERVAL_SECONDS, self.closed
        )

    def routes(self) -> list[Route]:
        """Return the routes of those who follow."""
        return [
            Route("GET", RUNNING_PATH, self.own_stream.handle),
            Route("GET", BLOCK_PATH, self._handle_block),
            Route("GET", f"{OTHERS_PATH}/", self._handle_others),
        ]

    def close(self) -> None:
        """End all streams, so that the server's stop need not wait for them."""
        self.closed.set()

    def _block(self) -> RunningReport:
        now = anyio.current_time()
        return merge_reports(
            [
                self.own_report(),
                *self.peer_reports.fresh_reports(self.watcher.direct_peers(), now),
            ]
        )

    async def _handle_block(self, call: Call) -> None:
        await self._collect_for(self.block_stream, call)

    async def _handle_others(self, call: Call) -> None:
        reader = call.path.removeprefix(f"{OTHERS_PATH}/")

        def others() -> RunningReport:
            return self.peer_reports.sum_without(
                reader, self.own_report(), anyio.current_time()
            )

        reporter = ReportStream(
            others, RunningReport.same_as, SUM_INTERVAL_SECONDS, self.closed
        )
        await self._collect_for(reporter, call)

    async def _collect_for(
        self, reporter: ReportStream[RunningReport], call: Call
    ) -> None:
        ready = self.watcher.is_collector()
        self.watcher.change_subscribers(1)
        try:
            if not ready:
                await anyio.sleep(COLLECTOR_START_SECONDS)
            await reporter.handle(call)
        finally:
            self.watcher.change_subscribers(-1)
