"""Streams of running reports that an entry sends to other entries."""

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
from briarthread_entry.direct.reports.peer_reports import PeerReports
from briarthread_entry.direct.reports.running_watcher import RunningWatcher

REPORT_INTERVAL_SECONDS = 0.1
"""Minimum interval between two running reports. With a longer interval the counts held
by different entries drift further apart."""
SUM_INTERVAL_SECONDS = 0.25
"""Minimum interval between two sums over many entries, which change with every request
of each entry. It is short enough, since streams last about ten times as long."""
COLLECTOR_START_SECONDS = 0.4
"""Time during which a new collector gathers reports before it sends a sum: calls to the
entries of its block take some hundredths of a second."""


class RunningReporter:
    """
    Serve streams of running reports of this entry, its block or all entries.

    ``own_report`` returns the report of this entry alone.
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
            self._block_report, RunningReport.same_as, SUM_INTERVAL_SECONDS, self.closed
        )

    def routes(self) -> list[Route]:
        """Return the routes of the streams."""
        return [
            Route("GET", RUNNING_PATH, self.own_stream.handle),
            Route("GET", BLOCK_PATH, self._handle_block),
            Route("GET", f"{OTHERS_PATH}/", self._handle_others),
        ]

    def close(self) -> None:
        """End all streams, so that stopping the server does not wait for them."""
        self.closed.set()

    def _block_report(self) -> RunningReport:
        now = anyio.current_time()
        return merge_reports(
            [
                self.own_report(),
                *self.peer_reports.fresh_reports(self.watcher.direct_peers(), now),
            ]
        )

    async def _handle_block(self, call: Call) -> None:
        await self._serve_as_collector(self.block_stream, call)

    async def _handle_others(self, call: Call) -> None:
        subscriber = call.path.removeprefix(f"{OTHERS_PATH}/")

        def others_report() -> RunningReport:
            return self.peer_reports.sum_without(
                subscriber, self.own_report(), anyio.current_time()
            )

        stream = ReportStream(
            others_report, RunningReport.same_as, SUM_INTERVAL_SECONDS, self.closed
        )
        await self._serve_as_collector(stream, call)

    async def _serve_as_collector(
        self, stream: ReportStream[RunningReport], call: Call
    ) -> None:
        was_collector = self.watcher.is_collector()
        self.watcher.change_subscribers(1)
        try:
            if not was_collector:
                await anyio.sleep(COLLECTOR_START_SECONDS)
            await stream.handle(call)
        finally:
            self.watcher.change_subscribers(-1)
