"""Playing of a request that crashes its targets beside a load, in virtual time."""

import random
from collections import Counter
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from briarthread_common.core.exceptions import ChannelError
from briarthread_standins.crash_scenario import CrashScenario
from briarthread_standins.direct_config import MODEL, build_config, build_route_row
from briarthread_standins.direct_worker import DirectWorker
from briarthread_standins.direct_world import DirectWorld
from briarthread_standins.limit_simulation import data_centre_of
from briarthread_standins.virtual_time import run_virtual

SETTLE_SECONDS = 5.0
BUDGET = 8.0
"""How long a caller waits for its whole answer, s."""
STALL_SECONDS = 1.5
"""How long a group waits for a lost rank before it cuts off what runs."""
CRASH_BODY = b"crash"
IDENTICAL_BODY = b"alike"


@dataclass(slots=True)
class CrashResults:
    """
    Hold what targets and callers got; times are seconds from the start.

    ``crashes`` and ``arrivals`` are of the request that crashes its targets,
    ``statuses`` count what all others got and ``answers`` what it got itself.
    ``shut_out`` counts the requests that some entry refuses at the end.
    """

    crashes: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    alike: Counter[int] = field(default_factory=Counter)
    answers: Counter[int] = field(default_factory=Counter)
    blocked_requests: int = 0

    def arrivals_after(self, crashes: int, seconds: float) -> int:
        """Return its arrivals from some seconds after one of the crashes on."""
        if len(self.crashes) < crashes:
            return 0
        since = self.crashes[crashes - 1] + seconds
        return sum(at > since for at in self.arrivals)


class _CrashPlay:
    def __init__(self, tasks: TaskGroup, day: CrashScenario) -> None:
        self.tasks = tasks
        self.day = day
        self.rng = random.Random(day.seed)
        self.tally = CrashResults()
        self.down: set[str] = set()
        self.start = 0.0
        self.world = DirectWorld(tasks, day.seed)
        row = build_route_row(
            "/ask/", day.service, day.kind, maxAttempts=2, resumable=True
        )
        self.world.store.put("op", "config", build_config(routes=[row]))
        for number in range(day.targets):
            name = f"target-{number}"
            worker = self.world.add_worker(name, day.service, data_centre_of(name))
            worker.crash_body = CRASH_BODY
            worker.on_crash = self._crash_by_request
        self.names = [f"entry-{number}" for number in range(day.entries)]
        for name in self.names:
            self.world.add_entry(name, data_centre_of(name))

    async def run(self) -> None:
        await anyio.sleep(SETTLE_SECONDS)
        self.start = anyio.current_time()
        async with anyio.create_task_group() as callers:
            callers.start_soon(self._ask_crashing, callers)
            callers.start_soon(self._kill_some)
            while self._now() < self.day.seconds:
                await anyio.sleep(self.rng.expovariate(self.day.rate))
                alike = self.rng.random() < self.day.identical_share
                self.world.request_count += 1
                body = (
                    IDENTICAL_BODY
                    if alike
                    else f"body {self.world.request_count}".encode()
                )
                kept = self.tally.alike if alike else self.tally.statuses
                callers.start_soon(self._ask, body, kept, 1)
        books = [entry.crashes for entry in self.world.entries.values()]
        self.tally.blocked_requests = len(
            {digest for book in books for digest in book.blocked}
        )

    def _now(self) -> float:
        return anyio.current_time() - self.start

    async def _ask_crashing(self, callers: TaskGroup) -> None:
        while self._now() + self.day.crash_interval < self.day.seconds:
            await anyio.sleep(self.day.crash_interval)
            callers.start_soon(
                self._ask, CRASH_BODY, self.tally.answers, self.day.retries
            )

    async def _ask(self, body: bytes, kept: Counter[int], repeats: int) -> None:
        """Ask, and again after a failure, each time at an entry by chance."""
        for left in range(repeats, -1, -1):
            status, pause = await self._ask_once(body)
            unsafe = self.day.kind == "unsafe" and status != 503
            if status == 200 or unsafe or not left:
                kept[status] += 1
                return
            await anyio.sleep(
                min(pause, BUDGET / 3) if self.day.honours_retry_after else 0.01
            )

    async def _ask_once(self, body: bytes) -> tuple[int, float]:
        size = {"x-token-count": "800,100"} if self.day.service == MODEL else {}
        entry = self.rng.choice(self.names)
        try:
            reply = await self.world.call(entry, "/ask/1", size, body=body)
        except ChannelError:
            return 0, 0.1
        if not reply.complete:
            return 0, 0.1
        return reply.status, float(reply.headers.get("retry-after", "0.1"))

    def _crash_by_request(self, worker: DirectWorker) -> None:
        self.tally.arrivals.append(self._now())
        if worker.name not in self.down:
            self.tally.crashes.append(self._now())
        self._crash(worker)

    def _crash(self, worker: DirectWorker) -> None:
        if worker.name not in self.down:
            self.down.add(worker.name)
            self.tasks.start_soon(self._be_down, worker)

    async def _be_down(self, worker: DirectWorker) -> None:
        """Take a target away for a while, and with a rank its whole group."""
        address = self.world.addresses[worker.name]
        site = self.world.network.nodes[address].site
        self.world.network.close(address)
        if self.day.service == MODEL:
            for other in self.world.workers.values():
                other.stalled_until = anyio.current_time() + STALL_SECONDS
                other.broken_by = address
        await anyio.sleep(self.day.down_seconds)
        self.world.network.listen(address, site, worker.app)
        self.down.discard(worker.name)
        if not self.down:
            for other in self.world.workers.values():
                other.broken_by = ""

    async def _kill_some(self) -> None:
        while self.day.crashes_per_second and self._now() < self.day.seconds:
            await anyio.sleep(1.0)
            up = [w for w in self.world.workers.values() if w.name not in self.down]
            for worker in self.rng.sample(
                up, min(self.day.crashes_per_second, max(len(up) - 1, 0))
            ):
                self._crash(worker)


def simulate_crashes(day: CrashScenario) -> CrashResults:
    """Play a day and return what the targets and callers got."""
    tallies: list[CrashResults] = []

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            play = _CrashPlay(tasks, day)
            await play.run()
            tallies.append(play.tally)
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return tallies[0]
