"""A stand-in for a lock-step group whose passes grow with its load."""

from collections import deque
from dataclasses import dataclass, field

import anyio

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call

MAX_BODY_BYTES = 1024 * 1024
IDLE_SECONDS = 0.005
STAMP_HEADER = ("x-server-stamp", "stamp")


@dataclass(eq=False)
class Generation:
    """One stream; ``events`` are still to be made."""

    events: int
    made: int = 0
    ready: anyio.Event = field(default_factory=anyio.Event)
    gone: bool = False


class LoadedGroup:
    """
    Make passes of ``fixed_seconds`` seconds and ``each`` for every running stream.

    Each rank runs ``slots`` streams and queues the rest. ``broken`` makes all
    ranks refuse, as a group does that has lost a rank.
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
        self.waiting: list[deque[Generation]] = [deque() for _ in range(ranks)]
        self.most_running = 0

    def app(self, number: int) -> App:
        """Return the application of one rank."""

        async def generate(call: Call) -> None:
            await self._generate(number, call)

        return App([Route("*", "/", generate)])

    async def run(self) -> None:
        """Make passes until cancelled."""
        while True:
            for rank, queue in zip(self.running, self.waiting, strict=True):
                rank[:] = [g for g in rank if g.events > g.made and not g.gone]
                while queue and len(rank) < self.slots:
                    rank.append(queue.popleft())
            total = sum(len(rank) for rank in self.running)
            self.most_running = max(self.most_running, total)
            await anyio.sleep(
                self.fixed_seconds + self.request_cost * total
                if total
                else IDLE_SECONDS
            )
            for rank in self.running:
                for generation in rank:
                    generation.made += 1
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
        self.waiting[number].append(generation)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call.cancel_on_disconnect, tasks.cancel_scope)
            try:
                await self._send(call, headers["x-request-id"], generation)
            finally:
                generation.gone = True
            tasks.cancel_scope.cancel()

    async def _send(self, call: Call, request: str, generation: Generation) -> None:
        await call.start(200, [STAMP_HEADER, ("x-request-id", request)])
        sent = 0
        while sent < generation.events:
            await generation.ready.wait()
            while sent < generation.made:
                sent += 1
                await call.send_chunk(f"id: {sent}\ndata: x\n\n".encode())
        await call.finish()
