"""A stand-in for a lock-step group whose pass duration grows with its load."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

import anyio

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call

MAX_BODY_BYTES = 1024 * 1024
IDLE_POLL_SECONDS = 0.005
DEFAULT_URGENCY = 5
"""Urgency of a request without the header."""
STAMP_HEADER = ("x-server-stamp", "stamp")


@dataclass(eq=False)
class Generation:
    """One stream of ``events`` events in total, of which some are produced."""

    events: int
    produced: int = 0
    ready: anyio.Event = field(default_factory=anyio.Event)
    abandoned: bool = False


class LoadedGroup:
    """
    Run passes that take ``fixed_seconds`` plus ``request_cost`` per running stream.

    ``request_cost`` is in seconds. Each rank runs ``slots`` streams and queues the
    rest, the most urgent first. While ``broken``, all ranks refuse requests, as in a
    group that has lost a rank.
    """

    def __init__(
        self,
        ranks: int = 6,
        slots: int = 6,
        fixed_seconds: float = 0.029,
        request_cost: float = 0.0021,
        events: int = 20,
    ) -> None:
        self.slots = slots
        self.fixed_seconds = fixed_seconds
        self.request_cost = request_cost
        self.events = events
        self.broken = False
        self.running: list[list[Generation]] = [[] for _ in range(ranks)]
        self.waiting: list[list[tuple[int, int, Generation]]] = [
            [] for _ in range(ranks)
        ]
        self.arrivals = count()
        self.max_running = 0

    def app(self, number: int) -> App:
        """Return the application of one rank."""

        async def generate(call: Call) -> None:
            await self._generate(number, call)

        return App([Route("*", "/", generate)])

    async def run(self) -> None:
        """Run passes until cancelled."""
        while True:
            for rank, queue in zip(self.running, self.waiting, strict=True):
                rank[:] = [g for g in rank if g.events > g.produced and not g.abandoned]
                while queue and len(rank) < self.slots:
                    rank.append(heappop(queue)[2])
            total = sum(len(rank) for rank in self.running)
            self.max_running = max(self.max_running, total)
            await anyio.sleep(
                self.fixed_seconds + self.request_cost * total
                if total
                else IDLE_POLL_SECONDS
            )
            for rank in self.running:
                for generation in rank:
                    generation.produced += 1
                    event, generation.ready = generation.ready, anyio.Event()
                    event.set()

    async def _generate(self, number: int, call: Call) -> None:
        headers = call.headers
        await call.read_body(MAX_BODY_BYTES)
        if self.broken:
            refusal = [
                ("x-not-executed", "1"),
                ("at-server", "10.9.9.9:1"),
                ("x-request-id", headers["x-request-id"]),
            ]
            await call.reply(503, b"", refusal)
            return
        generation = Generation(self.events)
        urgency = int(headers.get("x-request-priority", DEFAULT_URGENCY))
        heappush(self.waiting[number], (urgency, next(self.arrivals), generation))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
            try:
                await self._send_events(call, headers["x-request-id"], generation)
            finally:
                generation.abandoned = True
            tasks.cancel_scope.cancel()

    async def _send_events(
        self, call: Call, request_id: str, generation: Generation
    ) -> None:
        await call.start(200, [STAMP_HEADER, ("x-request-id", request_id)])
        sent = 0
        while sent < generation.events:
            await generation.ready.wait()
            while sent < generation.produced:
                sent += 1
                await call.send_chunk(f"id: {sent}\ndata: x\n\n".encode())
        await call.finish()
