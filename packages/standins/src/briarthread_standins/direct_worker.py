"""A stand-in for a worker of the users' platform, in its own protocol."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

import anyio

from briarthread_common.http.app import AnswerAborted, App, Route
from briarthread_common.http.call import Call
from briarthread_standins.refusals import Refusals

MAX_BODY_BYTES = 1024 * 1024
STAMP_HEADER = ("x-server-stamp", "stamp")
Fields = list[tuple[str, str]]


class WorkerFault(StrEnum):
    """Name what a worker may do instead of answering properly."""

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
    Answer requests, whole or as a stream, and count what ran.

    ``faults`` are used up one a request. A stream has ``pieces`` events; one
    that is cut stops in the middle of the event after ``events_before_cut``, with a
    broken connection or, torn, as if it were complete. A worker that
    ``repeats_last_event`` repeats an event when a stream is resumed there.
    ``rate_limit`` is named in every answer while it is set; ``arrivals`` are the times of all requests. A request
    whose body is ``crash_body`` calls ``on_crash``. While its group is ``broken_by``
    another worker it refuses; what runs waits for that and is cut off. ``refusals``
    sets when it answers 503 with Retry-After. ``leaving`` is the value of the
    server-leaving header, which is omitted for ``None``.
    """

    def __init__(self, name: str, event_count: int = 6) -> None:
        self.name = name
        self.event_count = event_count
        self.delay = 0.02
        self.event_interval = 0.06
        self.events_before_cut = 2
        self.repeats_last_event = False
        self.rate_limit: str | None = None
        self.refusals = Refusals()
        self.leaving: str | None = None
        self.arrivals: list[float] = []
        self.crash_body: bytes | None = None
        self.on_crash: Callable[[DirectWorker], None] | None = None
        self.broken_by = ""
        self.stalled_until = 0.0
        self.faults: list[WorkerFault] = []
        self.runs: Counter[str] = Counter()
        self.received_headers: list[dict[str, str]] = []
        self.received_bodies: list[bytes] = []
        self.in_progress = 0
        self.cancelled_requests = 0
        self.app = App([Route("*", "/", self._handle)])

    async def _handle(self, call: Call) -> None:
        headers = call.headers
        self.arrivals.append(anyio.current_time())
        self.received_headers.append(headers)
        self.received_bodies.append(body := await call.read_body(MAX_BODY_BYTES))
        echoed = self._named(headers)
        if headers.get("x-expect-instance", self.name) != self.name:
            await call.reply(421, b"", [("x-instance-id", self.name), *echoed])
            return
        if self.broken_by:
            named = ("at-server", self.broken_by)
            await call.reply(503, b"", [("x-not-executed", "1"), *echoed, named])
            return
        if self.refusals.record_arrival(call.scope["client"][0]):
            retry_after = ("retry-after", self.refusals.retry_after)
            await call.reply(503, b"", [("x-not-executed", "1"), *echoed, retry_after])
            return
        if self.on_crash is not None and body == self.crash_body:
            self.on_crash(self)
            await anyio.sleep_forever()
        fault = self.faults.pop(0) if self.faults else None
        if fault in (WorkerFault.REFUSE, WorkerFault.GROUP_BROKEN):
            named = [("at-server", "10.9.9.9:1")]
            more = named if fault is WorkerFault.GROUP_BROKEN else []
            await call.reply(503, b"", [("x-not-executed", "1"), *echoed, *more])
            return
        self.runs[headers["x-request-id"]] += 1
        self.in_progress += 1
        try:
            await self._work(call, headers, fault)
        finally:
            self.in_progress -= 1

    def _named(self, headers: dict[str, str]) -> Fields:
        """Return what every answer of this worker names."""
        named = [("x-request-id", headers["x-request-id"])]
        if self.rate_limit is not None:
            named.append(("server-limit", self.rate_limit))
        if self.leaving is not None:
            named.append(("server-leaving", self.leaving))
        return named

    async def _work(
        self, call: Call, headers: dict[str, str], fault: WorkerFault | None
    ) -> None:
        answered = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
            await anyio.sleep(self.delay)
            await self._answer(call, headers, fault)
            answered = True
            tasks.cancel_scope.cancel()
        self.cancelled_requests += not answered

    async def _answer(
        self, call: Call, headers: dict[str, str], fault: WorkerFault | None
    ) -> None:
        echoed = self._named(headers)
        match fault:
            case WorkerFault.SERVER_ERROR:
                await call.reply(500, b"broken", [STAMP_HEADER, *echoed])
            case WorkerFault.LOSE_RESPONSE:
                raise AnswerAborted("lost")
            case WorkerFault.NO_RESPONSE:
                await anyio.sleep_forever()
            case WorkerFault.WRONG_REQUEST_ID:
                await call.reply(
                    200, b"other", [STAMP_HEADER, ("x-request-id", "other")]
                )
            case WorkerFault.NO_REQUEST_ID:
                await call.reply(200, b"other", [STAMP_HEADER])
            case WorkerFault.NO_STAMP:
                await call.reply(200, b"forged", echoed)
            case WorkerFault.ENCODED:
                encoded = ("content-encoding", "gzip")
                await call.reply(200, b"zip", [STAMP_HEADER, *echoed, encoded])
            case _ if "x-token-count" in headers:
                await self._stream(call, headers, echoed, fault)
            case _:
                await call.reply(200, self.name.encode(), [STAMP_HEADER, *echoed])

    async def _stream(
        self,
        call: Call,
        headers: dict[str, str],
        echoed: Fields,
        fault: WorkerFault | None,
    ) -> None:
        first = int(headers.get("last-event-id", "0")) + 1
        if self.repeats_last_event:
            first = max(first - 1, 1)
        await call.start(
            200, [STAMP_HEADER, *echoed, ("content-type", "text/event-stream")]
        )
        for number in range(first, self.event_count + 1):
            await anyio.sleep(self.event_interval)
            if self.broken_by:
                await anyio.sleep(max(self.stalled_until - anyio.current_time(), 0.0))
                raise AnswerAborted("cut off, a rank of its group is lost")
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if (
                fault is WorkerFault.CUT_EVENT
                and number - first >= self.events_before_cut
            ):
                await call.send_chunk(event[:9])
                raise AnswerAborted("cut in the middle of an event")
            if (
                fault is WorkerFault.TRUNCATED_END
                and number - first >= self.events_before_cut
            ):
                await call.send_chunk(event[:9])
                break
            await call.send_chunk(event)
        await call.finish()
