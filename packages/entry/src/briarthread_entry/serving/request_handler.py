"""Admission of callers' requests and their final responses."""

from functools import partial

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.error_response import ERROR_RESPONSES
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import RequestError
from briarthread_common.core.metrics import Metrics
from briarthread_common.http.app import ResponseAborted
from briarthread_common.http.call import Call
from briarthread_common.spread.directory import Directory
from briarthread_common.text.services_text import ServicesText
from briarthread_common.text.text_view import TextView
from briarthread_common.utils.clock import Clock
from briarthread_entry.limits.account_limiter import AccountLimiter
from briarthread_entry.routing.router import Router
from briarthread_entry.serving.caller_request import CallerRequest
from briarthread_entry.serving.dependencies import check_dependencies
from briarthread_entry.serving.read_request import KEY_HEADER, read_request
from briarthread_entry.serving.request_runner import RequestRunner, with_unknown_outcome


class RequestHandler:
    """
    Admit a request, run it and send the caller the final response.

    Requests are refused until ``started`` is set, because until then the process may
    have an older services text than its peers.
    """

    def __init__(
        self,
        data_centre: str,
        started: anyio.Event,
        text: TextView,
        directory: Directory,
        limiter: AccountLimiter,
        router: Router,
        runner: RequestRunner,
        clock: Clock,
        metrics: Metrics,
        events: EventLog,
        max_in_flight: int,
    ) -> None:
        self.data_centre = data_centre
        self.started = started
        self.text = text
        self.directory = directory
        self.limiter = limiter
        self.router = router
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.events = events
        self.max_in_flight = max_in_flight
        self.in_flight = 0

    async def handle(self, call: Call) -> None:
        """Handle a request to a service."""
        started = self.clock.now()
        self.in_flight += 1
        try:
            request = await self._read(call, started)
            self.metrics.requests.labels(request.service.name).inc()
            await self._serve(request, call)
        except RequestError as error:
            self.metrics.refusals.labels(str(error.kind)).inc()
            raise _error_before_read(call, error) from error
        finally:
            self.in_flight -= 1
            self.metrics.request_seconds.observe(self.clock.now() - started)

    async def _read(self, call: Call, now: float) -> CallerRequest:
        text = self.text.current()
        if text.number == 0 or not self.started.is_set():
            raise RequestError(ErrorKind.NOT_READY, "no services text yet")
        return await read_request(call, text, now, self.runner.rng)

    async def _serve(self, request: CallerRequest, call: Call) -> None:
        if not await call.run_until_disconnect(partial(self._respond, request, call)):
            self._record_caller_left(request)

    async def _respond(self, request: CallerRequest, call: Call) -> None:
        try:
            await self._admit_and_run(request, call)
        except RequestError as error:
            await self._answer_error(request, call, error)

    def _record_caller_left(self, request: CallerRequest) -> None:
        self.metrics.callers_left.labels(request.service.name).inc()
        self.events.add(
            "caller-left",
            f"{request.account.name}/{request.service.name}",
            "before the answer was complete",
            request.id,
        )

    async def _admit_and_run(self, request: CallerRequest, call: Call) -> None:
        text = self.text.current()
        try:
            self._admit(request, text)
        except RequestError as error:
            raise (
                with_unknown_outcome(error) if request.needs_holder else error
            ) from error
        try:
            await self.runner.run(request, text, call)
        finally:
            self.limiter.release(request.account)

    def _admit(self, request: CallerRequest, text: ServicesText) -> None:
        if self.in_flight > self.max_in_flight:
            raise RequestError(ErrorKind.OVERLOADED, "too many requests in flight")
        check_dependencies(request.service, text, self.router)
        entries = len(self.directory.entries(self.data_centre))
        self.limiter.acquire(request.account, entries)

    async def _answer_error(
        self, request: CallerRequest, call: Call, error: RequestError
    ) -> None:
        self.metrics.refusals.labels(str(error.kind)).inc()
        self.events.add(
            "request-failed",
            f"{request.account.name}/{request.service.name}",
            f"{error.kind}: {error.detail} ({error.outcome})",
            request.id,
        )
        if call.started:
            raise ResponseAborted(str(error)) from error
        headers = [("briarthread-request", request.id)]
        await call.reply_error(error, ERROR_RESPONSES[error.kind].status, headers)


def _error_before_read(call: Call, error: RequestError) -> RequestError:
    """
    Return the error for a request that was refused before it was read.

    An entry that is starting, or whose services text is outdated, does not know about
    earlier requests with the same key, so their outcome is unknown. Only a malformed
    request cannot have run.
    """
    keyed = any(name == KEY_HEADER.encode() for name, _ in call.scope["headers"])
    if keyed and error.kind is not ErrorKind.BAD_REQUEST:
        return with_unknown_outcome(error)
    return error
