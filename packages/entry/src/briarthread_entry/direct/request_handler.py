"""Handler of callers' requests to direct targets, from arrival to response."""

from collections.abc import Callable
from functools import partial

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.error_response import ERROR_RESPONSES
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import RequestError
from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.route_view import RouteView
from briarthread_common.http.app import ResponseAborted
from briarthread_common.http.call import Call
from briarthread_common.http.problem import problem_body, problem_headers
from briarthread_entry.direct.memory.held_bytes import HeldBytes, hold_bytes
from briarthread_entry.direct.memory.memory_budget import MemoryBudget
from briarthread_entry.direct.request_runner import RequestRunner
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.requests.read_request import RequestReader


class RequestHandler:
    """
    Parse and run a request and send the caller its final response.

    ``is_crowded`` returns whether so many connections are open that this one is closed
    after the response.
    """

    def __init__(
        self,
        routes: RouteView,
        reader: RequestReader,
        runner: RequestRunner,
        memory: MemoryBudget,
        metrics: Metrics,
        events: EventLog,
        is_draining: Callable[[], bool],
    ) -> None:
        self.routes = routes
        self.reader = reader
        self.runner = runner
        self.memory = memory
        self.metrics = metrics
        self.events = events
        self.is_draining = is_draining
        self.is_crowded: Callable[[], bool] = _is_never_crowded

    async def handle(self, call: Call) -> None:
        """Serve one call and release the bytes held for it."""
        with hold_bytes(self.memory) as held:
            await self._handle(call, held)

    async def _handle(self, call: Call, held: HeldBytes) -> None:
        call.close_connection = self.is_draining() or self.is_crowded()
        arrived = anyio.current_time()
        try:
            request = await self._read(call, arrived, held)
        except RequestError as error:
            self.metrics.refusals.labels(str(error.kind)).inc()
            self.events.add("request-refused", call.path, error.detail)
            await self._send_error(call, error)
            return
        self.metrics.requests.labels(request.service.name).inc()
        await self._run(request, call)
        self.metrics.request_seconds.observe(anyio.current_time() - arrived)

    async def _read(self, call: Call, arrived: float, held: HeldBytes) -> DirectRequest:
        routes = self.routes.current()
        if routes is None:
            raise RequestError(ErrorKind.NOT_READY, "no configuration yet")
        return await self.reader.read(call, routes, arrived, held)

    async def _run(self, request: DirectRequest, call: Call) -> None:
        if not await call.run_until_disconnect(partial(self._respond, request, call)):
            self._record_caller_left(request)

    async def _respond(self, request: DirectRequest, call: Call) -> None:
        try:
            await self.runner.run(request, call)
        except RequestError as error:
            self._record_error(request, error)
            await self._send_error(call, error)

    def _record_caller_left(self, request: DirectRequest) -> None:
        self.metrics.callers_left.labels(request.service.name).inc()
        self.events.add(
            "caller-left",
            f"{request.account}/{request.service.name}",
            f"after {anyio.current_time() - request.arrived:.3f} s",
            request.id,
        )

    def _record_error(self, request: DirectRequest, error: RequestError) -> None:
        self.metrics.refusals.labels(str(error.kind)).inc()
        time_left = request.deadline - anyio.current_time()
        self.events.add(
            "request-failed",
            f"{request.account}/{request.service.name}",
            f"{error.kind}: {error.detail} ({error.outcome}, {time_left:.2f} s left)",
            request.id,
        )

    async def _send_error(self, call: Call, error: RequestError) -> None:
        if call.started:
            raise ResponseAborted(str(error)) from error
        status = ERROR_RESPONSES[error.kind].status
        headers = problem_headers(error, exact=True)
        await call.reply(status, problem_body(error), headers)


def _is_never_crowded() -> bool:
    return False
