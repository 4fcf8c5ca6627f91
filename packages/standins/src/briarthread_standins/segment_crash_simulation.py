"""Simulation of prompts whose segments crash targets, next to sound streams."""

import random

import anyio
from anyio.abc import TaskGroup

from briarthread_common.core.exceptions import ChannelError
from briarthread_standins.direct_config import MODEL, build_config, build_route_row
from briarthread_standins.direct_worker import DirectWorker
from briarthread_standins.direct_world import DirectWorld
from briarthread_standins.segment_crash_results import (
    CulpritArrival,
    SegmentCrashResults,
    SoundRequest,
)
from briarthread_standins.segment_crash_scenario import (
    CULPRIT,
    SECOND_CULPRIT,
    SegmentCrashScenario,
)
from briarthread_standins.virtual_time import run_virtual

SETTLE_SECONDS = 5.0
STALL_SECONDS = 1.5
"""Time that a group waits for a lost rank before it cuts off running streams."""
RESTART_SECONDS = 1.0
MAX_RETRY_PAUSE_SECONDS = 2.6
DATA_CENTRES = ("palermo", "catania", "messina")
ACCOUNT_KEYS = {"salon": "key-1", "barber": "key-9"}
ACCOUNTS = [{"name": name, "apiKeys": [key]} for name, key in ACCOUNT_KEYS.items()]
CULPRITS = (CULPRIT, SECOND_CULPRIT)


class SegmentCrashSimulation:
    """Run real entries in virtual time under the load of a scenario."""

    def __init__(self, tasks: TaskGroup, scenario: SegmentCrashScenario) -> None:
        self.tasks = tasks
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.results = SegmentCrashResults()
        self.down: set[str] = set()
        self.entry_of: dict[str, str] = {}
        self.start = 0.0
        self.world = DirectWorld(tasks, scenario.seed)
        row = build_route_row("/ask/", MODEL, "stream", maxAttempts=2, resumable=True)
        config = build_config(routes=[row], tenants=ACCOUNTS)
        self.world.store.put("op", "config", config)
        for number in range(scenario.targets):
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            worker = self.world.add_worker(f"target-{number}", MODEL, centre)
            worker.crash_segments = frozenset(CULPRITS)
            worker.events_before_crash = scenario.events_before_crash
            worker.on_crash = self._note_crash
        self.names = [f"entry-{number}" for number in range(scenario.entries)]
        for name in self.names:
            self.world.add_entry(name, self._centre_of(name))

    def _centre_of(self, entry: str) -> str:
        return DATA_CENTRES[self.names.index(entry) % len(DATA_CENTRES)]

    async def run(self) -> SegmentCrashResults:
        """Run the scenario and return its results."""
        await anyio.sleep(SETTLE_SECONDS)
        self.start = anyio.current_time()
        scenario = self.scenario
        async with anyio.create_task_group() as callers:
            callers.start_soon(self._send_all, callers, scenario.rate, 0.0, False)
            callers.start_soon(
                self._send_all,
                callers,
                scenario.culprit_rate,
                scenario.culprits_from,
                True,
            )
            callers.start_soon(self._crash_others)
            callers.start_soon(self._disturb)
        self._collect()
        return self.results

    def _now(self) -> float:
        return anyio.current_time() - self.start

    async def _send_all(
        self, callers: TaskGroup, rate: float, since: float, culprits: bool
    ) -> None:
        """Send requests at random moments; at a rate of 0 none at all."""
        await anyio.sleep(since)
        prompts = self.scenario.culprits if culprits else self.scenario.sound
        number = 0
        while rate and self._now() < self.scenario.seconds:
            await anyio.sleep(self.rng.expovariate(rate))
            account = "salon" if culprits or number % 2 else "barber"
            prompt = prompts[number % len(prompts)]
            callers.start_soon(self._send, account, prompt, culprits)
            number += 1

    async def _send(self, account: str, prompt: str, culprit: bool) -> None:
        """Send a request and repeat it if it fails, each time at a random entry."""
        for attempt in range(self.scenario.retries + 1):
            sent_at = self._now()
            if culprit:
                self.results.culprits_sent.append(sent_at)
            status, retry_after = await self._send_once(account, prompt)
            if not culprit and not attempt:
                self.results.sound.append(SoundRequest(sent_at, account, status))
            if status == 200:
                return
            await anyio.sleep(min(retry_after, MAX_RETRY_PAUSE_SECONDS))

    async def _send_once(self, account: str, prompt: str) -> tuple[int, float]:
        running = [name for name in self.names if name in self.world.scopes]
        if not running:
            return 0, 0.1
        entry = self.rng.choice(running)
        number = self.world.request_count + 1
        self.entry_of[f"request-{number}"] = entry
        headers = {
            "x-credential": ACCOUNT_KEYS[account],
            "x-token-count": "800,100",
            "x-prefix-hash": f"{prompt.replace('*', f'c{number}')},e{number}:60",
        }
        body = f"body {number}".encode()
        try:
            reply = await self.world.call(entry, "/ask/1", headers, body=body)
        except ChannelError:
            return 0, 0.1
        if not reply.complete:
            return 0, 0.1
        return reply.status, float(reply.headers.get("retry-after", "0.1"))

    def _note_crash(self, worker: DirectWorker) -> None:
        if worker.name in self.down:
            return
        culprit = _culprit_in(worker.received_headers[-1]) or CULPRIT
        self.results.crashes.setdefault(culprit, []).append(self._now())
        self._crash(worker)

    def _crash(self, worker: DirectWorker) -> None:
        if worker.name not in self.down:
            self.down.add(worker.name)
            self.tasks.start_soon(self._stop_and_restart, worker)

    async def _stop_and_restart(self, worker: DirectWorker) -> None:
        """Stop a target for a while; a rank breaks its whole group."""
        address = self.world.addresses[worker.name]
        worker.revived = anyio.Event() if self.scenario.silent else None
        site = self.world.network.nodes[address].site
        if worker.revived is None:
            self.world.network.close(address)
        if self.scenario.lock_step:
            for other in self.world.workers.values():
                other.stalled_until = anyio.current_time() + STALL_SECONDS
                other.broken_by = address
                other.stalls_new = self.scenario.silent
        await anyio.sleep(self.scenario.down_seconds)
        if worker.revived is None:
            self.world.network.listen(address, site, worker.app)
        else:
            worker.revived.set()
            worker.revived = None
        self.down.discard(worker.name)
        if not self.down:
            for other in self.world.workers.values():
                other.broken_by = ""

    async def _crash_others(self) -> None:
        while self.scenario.other_crashes and self._now() < self.scenario.seconds:
            await anyio.sleep(self.scenario.other_interval)
            up = [w for w in self.world.workers.values() if w.name not in self.down]
            count = min(self.scenario.other_crashes, max(len(up) - 1, 0))
            for worker in self.rng.sample(up, count):
                self._crash(worker)

    async def _disturb(self) -> None:
        await anyio.sleep(self.scenario.disturbed_at)
        if self.scenario.restarted:
            await self._restart_entries(self.names[: self.scenario.restarted])
        if self.scenario.cut_seconds:
            await self._cut_off(DATA_CENTRES[-1])

    async def _restart_entries(self, names: list[str]) -> None:
        begin = self._now()
        for name in names:
            self.world.kill_entry(name)
        await anyio.sleep(RESTART_SECONDS)
        for name in names:
            self.world.add_entry(name, self._centre_of(name))
            self.results.out_of_touch.append((name, begin, self._now()))

    async def _cut_off(self, centre: str) -> None:
        begin = self._now()
        for other in ("store", *DATA_CENTRES[:-1]):
            self.world.network.partition(centre, other)
        await anyio.sleep(self.scenario.cut_seconds)
        self.world.network.heal()
        for name in self.names:
            if self._centre_of(name) == centre:
                self.results.out_of_touch.append((name, begin, self._now()))

    def _collect(self) -> None:
        for worker in self.world.workers.values():
            for at, headers in zip(
                worker.arrivals, worker.received_headers, strict=True
            ):
                culprit = _culprit_in(headers)
                if culprit is not None:
                    entry = self.entry_of[headers["x-request-id"]]
                    self.results.arrivals.append(
                        CulpritArrival(at - self.start, entry, culprit)
                    )
        for entry in self.world.entries.values():
            self.results.blocked.update(
                event.subject
                for event in entry.events.ring
                if event.decision == "segments-blocked"
            )


def _culprit_in(headers: dict[str, str]) -> str | None:
    ids = [part.partition(":")[0] for part in headers["x-prefix-hash"].split(",")]
    return next((culprit for culprit in CULPRITS if culprit in ids), None)


def simulate_segment_crashes(scenario: SegmentCrashScenario) -> SegmentCrashResults:
    """Simulate a scenario and return its results."""

    async def run() -> SegmentCrashResults:
        async with anyio.create_task_group() as tasks:
            simulation = SegmentCrashSimulation(tasks, scenario)
            results = await simulation.run()
            tasks.cancel_scope.cancel()
        return results

    return run_virtual(run)
