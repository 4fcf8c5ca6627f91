"""A stand-in for a worker of the users' platform, in its own protocol."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

import anyio

from briarthread_common.http.app import App, ResponseAborted, Route
from briarthread_common.http.call import Call
from briarthread_standins.refusals import Refusals

MAX_BODY = 1024 * 1024
STAMP = ("x-server-stamp", "stamp")
Fields = list[tuple[str, str]]


class WorkerFault(StrEnum):
    """Name what a worker may do instead of answering properly."""

    REFUSE = "refuse"
    GROUP_BROKEN = "group-broken"
    OWN_ERROR = "own-error"
    LOSE_ANSWER = "lose-answer"
    MUTE = "mute"
    OTHER_ID = "other-id"
    NO_ID = "no-id"
    NO_STAMP = "no-stamp"
    ENCODED = "encoded"
    CUT_EVENT = "cut-event"
    TORN_END = "torn-end"


class DirectWorker:
    """
    Answer requests, whole or as a stream, and count what ran.

    ``faults`` are used up one a request. A stream has ``pieces`` events; one
    that is cut stops in the middle of the event after ``cut_after``, with a
    broken connection or, torn, as if it were complete. A worker that
    ``rewinds`` repeats an event when a stream is resumed there. ``limit`` is named in
    every answer while it is set; ``arrivals`` are the times of all requests. A request
    whose body is ``crashes_on`` calls ``on_crash``. While its group is ``broken_by``
    another worker it refuses; what runs waits for that and is cut off. ``refusals``
    sets when it answers 503 with Retry-After. ``leaving`` is the value of the
    server-leaving header, which is omitted for ``None``.
    """

    def __init__(self, name: str, pieces: int = 6) -> None:
        self.name = name
        self.pieces = pieces
        self.delay = 0.02
        self.event_pause = 0.06
        self.cut_after = 2
        self.rewinds = False
        self.limit: str | None = None
        self.refusals = Refusals()
        self.leaving: str | None = None
        self.arrivals: list[float] = []
        self.crashes_on: bytes | None = None
        self.on_crash: Callable[[DirectWorker], None] | None = None
        self.broken_by = ""
        self.stalled_until = 0.0
        self.faults: list[WorkerFault] = []
        self.runs: Counter[str] = Counter()
        self.seen: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.working = 0
        self.broken_off = 0
        self.app = App([Route("*", "/", self._handle)])

    async def _handle(self, call: Call) -> None:
        headers = call.headers
        self.arrivals.append(anyio.current_time())
        self.seen.append(headers)
        self.bodies.append(body := await call.read_body(MAX_BODY))
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
        if self.on_crash is not None and body == self.crashes_on:
            self.on_crash(self)
            await anyio.sleep_forever()
        fault = self.faults.pop(0) if self.faults else None
        if fault in (WorkerFault.REFUSE, WorkerFault.GROUP_BROKEN):
            named = [("at-server", "10.9.9.9:1")]
            more = named if fault is WorkerFault.GROUP_BROKEN else []
            await call.reply(503, b"", [("x-not-executed", "1"), *echoed, *more])
            return
        self.runs[headers["x-request-id"]] += 1
        self.working += 1
        try:
            await self._work(call, headers, fault)
        finally:
            self.working -= 1

    def _named(self, headers: dict[str, str]) -> Fields:
        """Return what every answer of this worker names."""
        named = [("x-request-id", headers["x-request-id"])]
        if self.limit is not None:
            named.append(("server-limit", self.limit))
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
        self.broken_off += not answered

    async def _answer(
        self, call: Call, headers: dict[str, str], fault: WorkerFault | None
    ) -> None:
        echoed = self._named(headers)
        match fault:
            case WorkerFault.OWN_ERROR:
                await call.reply(500, b"broken", [STAMP, *echoed])
            case WorkerFault.LOSE_ANSWER:
                raise ResponseAborted("lost")
            case WorkerFault.MUTE:
                await anyio.sleep_forever()
            case WorkerFault.OTHER_ID:
                await call.reply(200, b"other", [STAMP, ("x-request-id", "other")])
            case WorkerFault.NO_ID:
                await call.reply(200, b"other", [STAMP])
            case WorkerFault.NO_STAMP:
                await call.reply(200, b"forged", echoed)
            case WorkerFault.ENCODED:
                encoded = ("content-encoding", "gzip")
                await call.reply(200, b"zip", [STAMP, *echoed, encoded])
            case _ if "x-token-count" in headers:
                await self._stream(call, headers, echoed, fault)
            case _:
                await call.reply(200, self.name.encode(), [STAMP, *echoed])

    async def _stream(
        self,
        call: Call,
        headers: dict[str, str],
        echoed: Fields,
        fault: WorkerFault | None,
    ) -> None:
        first = int(headers.get("last-event-id", "0")) + 1
        if self.rewinds:
            first = max(first - 1, 1)
        await call.start(200, [STAMP, *echoed, ("content-type", "text/event-stream")])
        for number in range(first, self.pieces + 1):
            await anyio.sleep(self.event_pause)
            if self.broken_by:
                await anyio.sleep(max(self.stalled_until - anyio.current_time(), 0.0))
                raise ResponseAborted("cut off, a rank of its group is lost")
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if fault is WorkerFault.CUT_EVENT and number - first >= self.cut_after:
                await call.send_chunk(event[:9])
                raise ResponseAborted("cut in the middle of an event")
            if fault is WorkerFault.TORN_END and number - first >= self.cut_after:
                await call.send_chunk(event[:9])
                break
            await call.send_chunk(event)
        await call.finish()
