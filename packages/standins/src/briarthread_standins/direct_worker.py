"""A stand-in for a worker of the platform, in the platform's own protocol."""

import random
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

import anyio

from briarthread_common.http.app import App, ResponseAborted, Route
from briarthread_common.http.call import Call
from briarthread_standins.caller_host import caller_host
from briarthread_standins.direct_config import HEALTH_PATH
from briarthread_standins.refusals import Refusals

MAX_BODY_BYTES = 1024 * 1024
STAMP_HEADER = ("x-server-stamp", "stamp")
HeaderFields = list[tuple[str, str]]


class WorkerFault(StrEnum):
    """A fault that a worker injects instead of responding properly."""

    REFUSE = "refuse"
    GROUP_BROKEN = "group-broken"
    SERVER_ERROR = "own-error"
    LOSE_RESPONSE = "lose-answer"
    NO_RESPONSE = "mute"
    WRONG_REQUEST_ID = "other-id"
    NO_REQUEST_ID = "no-id"
    NO_STAMP = "no-stamp"
    ENCODED = "encoded"
    CUT_EVENT = "cut-event"
    TRUNCATED_END = "torn-end"


class DirectWorker:
    """
    Serve single responses and event streams, and count the runs of each request.

    Each request consumes one of ``faults``. A stream has ``event_count`` events; one
    that is cut stops in the middle of the event after ``events_before_cut``: with a
    broken connection for ``CUT_EVENT``, as if it were complete for ``TRUNCATED_END``. A
    worker that ``repeats_last_event`` sends the event named in Last-Event-ID again when
    a stream is resumed. ``rate_limit`` is announced in every response while it is set;
    ``arrivals`` holds the times of all requests in seconds. A request whose body is
    ``crash_body`` calls ``on_crash``; so does a stream with one of ``crash_segments``
    in its prompt, after ``events_before_crash`` events, or before the head of its
    response if that is ``None``. While its group is ``broken_by`` another worker it
    refuses new requests; running streams stall until ``stalled_until`` and are then cut
    off, and with ``stalls_new`` new requests are refused only then. Until the event
    ``revived`` the worker itself answers nothing and ends no connection.
    ``refusals`` sets when it responds 503 with Retry-After. Each run takes one of
    ``run_statuses``, if there is any, and is answered with it and ``run_fields``.
    ``leaving`` is the value of the server-leaving header, which is omitted for
    ``None``. Until ``cold_until`` it states in its responses how long it is cold. A
    request takes ``slow_delay`` instead of ``delay`` if it comes before ``slow_until``
    while ``slow_running`` others are in progress; both vary by a log-normal factor with
    ``delay_sigma``. A health check takes ``health_delay`` seconds.
    """

    def __init__(self, name: str, event_count: int = 6) -> None:
        self.name = name
        self.event_count = event_count
        self.version = "1"
        self.delay = 0.02
        self.health_delay = 0.0
        self.slow_delay = 0.0
        self.slow_until = 0.0
        self.slow_running = 0
        self.delay_sigma = 0.0
        self.rng = random.Random(name)
        self.event_interval = 0.06
        self.events_before_cut = 2
        self.repeats_last_event = False
        self.rate_limit: str | None = None
        self.refusals = Refusals()
        self.leaving: str | None = None
        self.cold_until = 0.0
        self.arrivals: list[float] = []
        self.crash_body: bytes | None = None
        self.crash_segments: frozenset[str] = frozenset()
        self.events_before_crash: int | None = 0
        self.on_crash: Callable[[DirectWorker], None] | None = None
        self.broken_by = ""
        self.stalled_until = 0.0
        self.stalls_new = False
        self.revived: anyio.Event | None = None
        self.faults: list[WorkerFault] = []
        self.run_statuses: list[int] = []
        self.run_fields: HeaderFields = []
        self.runs: Counter[str] = Counter()
        self.received_headers: list[dict[str, str]] = []
        self.received_bodies: list[bytes] = []
        self.in_progress = 0
        self.cancelled_requests = 0
        self.health_checks = 0
        self.app = App(
            [
                Route("GET", HEALTH_PATH, self._handle_health),
                Route("*", "/", self._handle),
            ]
        )

    async def _handle_health(self, call: Call) -> None:
        self.health_checks += 1
        await anyio.sleep(self.health_delay)
        is_expected = call.headers.get("x-expect-instance", self.name) == self.name
        await call.reply(
            200 if is_expected else 421, b"", [("x-instance-id", self.name)]
        )

    async def _handle(self, call: Call) -> None:
        headers = call.headers
        self.arrivals.append(anyio.current_time())
        self.received_headers.append(headers)
        self.received_bodies.append(body := await call.read_body(MAX_BODY_BYTES))
        common = self._common_headers(headers)
        if self._is_misdirected(headers):
            at_fault = [("at-server", self.name), ("x-instance-id", self.name)]
            await call.reply(421, b"", [*at_fault, *common])
            return
        if self.revived is not None:
            await self._stay_silent()
        if self.broken_by:
            if self.stalls_new:
                await self._wait_stall()
            broken_rank = ("at-server", self.broken_by)
            await call.reply(503, b"", [("x-not-executed", "1"), *common, broken_rank])
            return
        if self.refusals.record_arrival(caller_host(call)):
            retry_after = ("retry-after", self.refusals.retry_after)
            await call.reply(503, b"", [("x-not-executed", "1"), *common, retry_after])
            return
        if body == self.crash_body:
            await self._crash()
        fault = self.faults.pop(0) if self.faults else None
        if fault in (WorkerFault.REFUSE, WorkerFault.GROUP_BROKEN):
            broken_rank = [("at-server", "10.9.9.9:1")]
            more = broken_rank if fault is WorkerFault.GROUP_BROKEN else []
            await call.reply(503, b"", [("x-not-executed", "1"), *common, *more])
            return
        self.runs[headers["x-request-id"]] += 1
        self.in_progress += 1
        try:
            await self._run(call, headers, fault)
        finally:
            self.in_progress -= 1

    def _is_misdirected(self, headers: dict[str, str]) -> bool:
        """Return whether a request expects another worker or other weights."""
        return (
            headers.get("x-expect-instance", self.name) != self.name
            or headers.get("x-expect-version", self.version) != self.version
        )

    def _common_headers(self, headers: dict[str, str]) -> HeaderFields:
        """Return the header fields of every response of this worker."""
        fields = [("x-request-id", headers["x-request-id"])]
        if self.rate_limit is not None:
            fields.append(("server-limit", self.rate_limit))
        if self.leaving is not None:
            fields.append(("server-leaving", self.leaving))
        cold_left = self.cold_until - anyio.current_time()
        if cold_left > 0:
            fields.append(("x-cold-ms", str(int(cold_left * 1000))))
        return fields

    async def _run(
        self, call: Call, headers: dict[str, str], fault: WorkerFault | None
    ) -> None:
        finished = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
            await anyio.sleep(self._current_delay())
            await self._respond(call, headers, fault)
            finished = True
            tasks.cancel_scope.cancel()
        self.cancelled_requests += not finished

    def _current_delay(self) -> float:
        others = self.in_progress - 1
        is_slow = anyio.current_time() < self.slow_until and others >= self.slow_running
        factor = self.rng.lognormvariate(0, self.delay_sigma)
        return (self.slow_delay if is_slow else self.delay) * factor

    async def _respond(
        self, call: Call, headers: dict[str, str], fault: WorkerFault | None
    ) -> None:
        common = self._common_headers(headers)
        if self.run_statuses:
            fields = [STAMP_HEADER, *common, *self.run_fields]
            await call.reply(self.run_statuses.pop(0), b"failed", fields)
            return
        match fault:
            case WorkerFault.SERVER_ERROR:
                await call.reply(500, b"broken", [STAMP_HEADER, *common])
            case WorkerFault.LOSE_RESPONSE:
                raise ResponseAborted("fault injection: response lost")
            case WorkerFault.NO_RESPONSE:
                await anyio.sleep_forever()
            case WorkerFault.WRONG_REQUEST_ID:
                await call.reply(
                    200, b"other", [STAMP_HEADER, ("x-request-id", "other")]
                )
            case WorkerFault.NO_REQUEST_ID:
                await call.reply(200, b"other", [STAMP_HEADER])
            case WorkerFault.NO_STAMP:
                await call.reply(200, b"forged", common)
            case WorkerFault.ENCODED:
                encoded = ("content-encoding", "gzip")
                await call.reply(200, b"zip", [STAMP_HEADER, *common, encoded])
            case _ if "x-token-count" in headers:
                await self._stream(call, headers, common, fault)
            case _:
                await call.reply(200, self.name.encode(), [STAMP_HEADER, *common])

    def _crashes_in_stream(self, headers: dict[str, str]) -> bool:
        prompt = headers.get("x-prefix-hash", "").split(",")
        return not self.crash_segments.isdisjoint(p.partition(":")[0] for p in prompt)

    async def _crash(self) -> None:
        if self.on_crash is not None:
            self.on_crash(self)
            if self.revived is not None:
                await self._stay_silent()
            await anyio.sleep_forever()

    async def _stay_silent(self) -> None:
        """Answer nothing until this worker is started again."""
        if self.revived is not None:
            await self.revived.wait()
        raise ResponseAborted("the worker was silent until its restart")

    async def _wait_stall(self) -> None:
        await anyio.sleep(max(self.stalled_until - anyio.current_time(), 0.0))

    async def _stream(
        self,
        call: Call,
        headers: dict[str, str],
        common: HeaderFields,
        fault: WorkerFault | None,
    ) -> None:
        first = int(headers.get("last-event-id", "0")) + 1
        if self.repeats_last_event:
            first = max(first - 1, 1)
        crashes = self._crashes_in_stream(headers)
        if crashes and self.events_before_crash is None:
            await self._crash()
        await call.start(
            200, [STAMP_HEADER, *common, ("content-type", "text/event-stream")]
        )
        for number in range(first, self.event_count + 1):
            await anyio.sleep(self.event_interval)
            if crashes and number - first >= (self.events_before_crash or 0):
                await self._crash()
            if self.broken_by:
                await self._wait_stall()
                raise ResponseAborted("stream cut off: a rank of the group was lost")
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if (
                fault is WorkerFault.CUT_EVENT
                and number - first >= self.events_before_cut
            ):
                await call.send_chunk(event[:9])
                raise ResponseAborted("stream cut off in the middle of an event")
            if (
                fault is WorkerFault.TRUNCATED_END
                and number - first >= self.events_before_cut
            ):
                await call.send_chunk(event[:9])
                break
            await call.send_chunk(event)
        await call.finish()
