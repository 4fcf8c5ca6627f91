"""Health, metrics and status pages of the entry and the agent."""

from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import RequestError
from briarthread_common.core.metrics import Metrics
from briarthread_common.http.app import Route
from briarthread_common.http.call import Call

EXPLAIN_PREFIX = "/status/explain/"


class StatusPages:
    """
    Serve the health, readiness, metrics, status and explain pages.

    ``ready`` returns why the process is not ready, or an empty string;
    ``status`` returns the content of the status page.
    """

    def __init__(
        self,
        metrics: Metrics,
        events: EventLog,
        ready: Callable[[], str],
        status: Callable[[], dict[str, object]],
    ) -> None:
        self.metrics = metrics
        self.events = events
        self.ready = ready
        self.status = status

    def routes(self) -> list[Route]:
        """Return the pages' routes."""
        return [
            Route("GET", "/healthz", self._handle_health),
            Route("GET", "/readyz", self._handle_ready),
            Route("GET", "/metrics", self._handle_metrics),
            Route("GET", "/status", self._handle_status),
            Route("GET", EXPLAIN_PREFIX, self._handle_explain),
        ]

    async def _handle_health(self, call: Call) -> None:
        await call.reply_json({"alive": True})

    async def _handle_ready(self, call: Call) -> None:
        reason = self.ready()
        if reason:
            raise RequestError(ErrorKind.NOT_READY, reason)
        await call.reply_json({"ready": True})

    async def _handle_metrics(self, call: Call) -> None:
        headers = [("content-type", CONTENT_TYPE_LATEST)]
        await call.reply(200, self.metrics.render(), headers)

    async def _handle_status(self, call: Call) -> None:
        await call.reply_json(self.status())

    async def _handle_explain(self, call: Call) -> None:
        subject = call.path.removeprefix(EXPLAIN_PREFIX)
        await call.reply_json(self.events.events_for(subject))
