"""
Simulation of a request that crashes its targets next to an ordinary load.

It runs real entries in virtual time.
"""

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
CALLER_DEADLINE_SECONDS = 8.0
"""Time that a caller allows for its complete response, in seconds."""
STALL_SECONDS = 1.5
"""Time that a group waits for a lost rank before it cuts off running streams."""
CRASH_BODY = b"crash"
IDENTICAL_BODY = b"alike"


@dataclass(slots=True)
class CrashResults:
    """
    Crashes, arrivals and response statuses; times are in seconds from the start.

    ``crashes`` and ``arrivals`` are those of the request that crashes its targets, and
    ``answers`` counts the statuses of its responses. ``identical_statuses`` counts
    those of the identical requests, ``statuses`` those of all others.
    ``blocked_requests`` is the number of requests that any entry blocks at the end.
    """

    crashes: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    identical_statuses: Counter[int] = field(default_factory=Counter)
    answers: Counter[int] = field(default_factory=Counter)
    blocked_requests: int = 0

    def arrivals_after(self, crashes: int, seconds: float) -> int:
        """Return the arrivals of the crashing request after a crash and a delay."""
        if len(self.crashes) < crashes:
            return 0
        since = self.crashes[crashes - 1] + seconds
        return sum(at > since for at in self.arrivals)


class _CrashSimulation:
    def __init__(self, tasks: TaskGroup, scenario: CrashScenario) -> None:
        self.tasks = tasks
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.results = CrashResults()
        self.down: set[str] = set()
        self.start = 0.0
        self.world = DirectWorld(tasks, scenario.seed)
        row = build_route_row(
            "/ask/", scenario.service, scenario.kind, maxAttempts=2, resumable=True
        )
        self.world.store.put("op", "config", build_config(routes=[row]))
        for number in range(scenario.targets):
            name = f"target-{number}"
            worker = self.world.add_worker(name, scenario.service, data_centre_of(name))
            worker.crash_body = CRASH_BODY
            worker.on_crash = self._crash_by_request
        self.names = [f"entry-{number}" for number in range(scenario.entries)]
        for name in self.names:
            self.world.add_entry(name, data_centre_of(name))

    async def run(self) -> None:
        await anyio.sleep(SETTLE_SECONDS)
        self.start = anyio.current_time()
        async with anyio.create_task_group() as callers:
            callers.start_soon(self._send_crashing_requests, callers)
            callers.start_soon(self._crash_random_targets)
            while self._now() < self.scenario.seconds:
                await anyio.sleep(self.rng.expovariate(self.scenario.rate))
                identical = self.rng.random() < self.scenario.identical_share
                self.world.request_count += 1
                body = (
                    IDENTICAL_BODY
                    if identical
                    else f"body {self.world.request_count}".encode()
                )
                statuses = (
                    self.results.identical_statuses
                    if identical
                    else self.results.statuses
                )
                callers.start_soon(self._send, body, statuses, 1)
        trackers = [entry.crashes for entry in self.world.entries.values()]
        self.results.blocked_requests = len(
            {digest for tracker in trackers for digest in tracker.blocked}
        )

    def _now(self) -> float:
        return anyio.current_time() - self.start

    async def _send_crashing_requests(self, callers: TaskGroup) -> None:
        while self._now() + self.scenario.crash_interval < self.scenario.seconds:
            await anyio.sleep(self.scenario.crash_interval)
            callers.start_soon(
                self._send, CRASH_BODY, self.results.answers, self.scenario.retries
            )

    async def _send(self, body: bytes, statuses: Counter[int], retries: int) -> None:
        """Send a request and retry failures, each time at a random entry."""
        for retries_left in range(retries, -1, -1):
            status, retry_after = await self._send_once(body)
            unsafe = self.scenario.kind == "unsafe" and status != 503
            if status == 200 or unsafe or not retries_left:
                statuses[status] += 1
                return
            await anyio.sleep(
                min(retry_after, CALLER_DEADLINE_SECONDS / 3)
                if self.scenario.honours_retry_after
                else 0.01
            )

    async def _send_once(self, body: bytes) -> tuple[int, float]:
        headers = {"x-token-count": "800,100"} if self.scenario.service == MODEL else {}
        entry = self.rng.choice(self.names)
        try:
            reply = await self.world.call(entry, "/ask/1", headers, body=body)
        except ChannelError:
            return 0, 0.1
        if not reply.complete:
            return 0, 0.1
        return reply.status, float(reply.headers.get("retry-after", "0.1"))

    def _crash_by_request(self, worker: DirectWorker) -> None:
        self.results.arrivals.append(self._now())
        if worker.name not in self.down:
            self.results.crashes.append(self._now())
        self._crash(worker)

    def _crash(self, worker: DirectWorker) -> None:
        if worker.name not in self.down:
            self.down.add(worker.name)
            self.tasks.start_soon(self._stop_and_restart, worker)

    async def _fall_silent(self, worker: DirectWorker) -> None:
        """Let a target answer nothing for a while, and list it under another name."""
        name = worker.name
        worker.revived = anyio.Event()
        await anyio.sleep(self.scenario.down_seconds)
        self.world.store.delete("servers", name)
        base, _, boot = name.partition("+")
        worker.name = f"{base}+{int(boot or 0) + 1}"
        self.world.addresses[worker.name] = self.world.addresses[name]
        self.world.register_worker(
            worker.name, self.scenario.service, data_centre_of(base)
        )
        worker.revived.set()
        worker.revived = None
        self.down.discard(name)

    async def _stop_and_restart(self, worker: DirectWorker) -> None:
        """Stop a target for a while; a rank breaks its whole group."""
        if self.scenario.silent:
            await self._fall_silent(worker)
            return
        address = self.world.addresses[worker.name]
        site = self.world.network.nodes[address].site
        self.world.network.close(address)
        if self.scenario.service == MODEL:
            for other in self.world.workers.values():
                other.stalled_until = anyio.current_time() + STALL_SECONDS
                other.broken_by = address
        await anyio.sleep(self.scenario.down_seconds)
        self.world.network.listen(address, site, worker.app)
        self.down.discard(worker.name)
        if not self.down:
            for other in self.world.workers.values():
                other.broken_by = ""

    async def _crash_random_targets(self) -> None:
        while self.scenario.crashes_per_second and self._now() < self.scenario.seconds:
            await anyio.sleep(1.0)
            up = [w for w in self.world.workers.values() if w.name not in self.down]
            for worker in self.rng.sample(
                up, min(self.scenario.crashes_per_second, max(len(up) - 1, 0))
            ):
                self._crash(worker)


def simulate_crashes(scenario: CrashScenario) -> CrashResults:
    """Simulate a scenario and return its results."""
    all_results: list[CrashResults] = []

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            simulation = _CrashSimulation(tasks, scenario)
            await simulation.run()
            all_results.append(simulation.results)
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return all_results[0]
