"""Faults of a soak: drawn from a seed, injected from outside the processes."""

import random
import signal
import time
from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum

import anyio
from crowds.client_bytes import ClientKind
from crowds.crowd import Behaviour, press
from processes.endless_target import EndlessKind

from soak.soak_deployment import SECOND_DATA_CENTRE, SoakDeployment, SoakProcess

EVACUATION_SECONDS = 8.0
FAULT_SECONDS = (0.8, 3.0)
DELAY_SECONDS = (0.02, 0.2)
KILLS_OF_ALL_ENTRIES = 4
RESTART_PAUSE_SECONDS = 0.3
FOREIGN_CHANGES: list[dict[str, object]] = [
    {},
    {"state": "archived"},
    {"service": "unnamed"},
    {"zone": "elsewhere"},
    {"slots": 0},
]
"""Fields of another writer; none at all in the first row."""
FOREIGN_ROUNDS = 3
ENDLESS_SECONDS = 5.0
LIST_SECONDS = 1.5
"""Time until all entries know a change of the list."""
ANSWERING_KINDS = (EndlessKind.PAST_LENGTH, EndlessKind.SECOND_ANSWERS)
"""Kinds whose answers are whole, which the checks of answers do not know."""
CROWD_SECONDS = 5.0
CROWD_SIZE = 20
"""Clients of a crowd at each address that it presses on."""
CROWD_BYTES = 1024 * 1024
"""Bytes that such a client sends on a connection before it falls silent."""
SERVED_CLIENT_KINDS = (ClientKind.LARGE_REQUESTS,)
"""Kinds whose requests are served, which would take the targets from the callers."""


class FaultKind(StrEnum):
    """Kinds of faults; those of targets disturb the paths to them."""

    TARGET_SUSPENDED = "target-suspended"
    TARGET_CUT = "target-cut"
    REQUESTS_HELD = "requests-held"
    RESPONSES_HELD = "responses-held"
    CONNECTIONS_RESET = "connections-reset"
    TARGET_DELAYED = "target-delayed"
    TARGET_KILLED = "target-killed"
    ENTRY_PAUSED = "entry-paused"
    ENTRY_KILLED = "entry-killed"
    ENTRY_STOPPED = "entry-stopped"
    EVACUATED = "evacuated"
    TARGETS_REFUSE = "targets-refuse"
    FOREIGN_ROWS = "foreign-rows"
    ENDLESS_BYTES = "endless-bytes"
    CROWD = "crowd"


HELD_DIRECTIONS = {
    FaultKind.TARGET_SUSPENDED: (True, True),
    FaultKind.TARGET_CUT: (True, True),
    FaultKind.REQUESTS_HELD: (True, False),
    FaultKind.RESPONSES_HELD: (False, True),
}
"""Directions that a fault holds: requests to the target, responses from it."""
DEPLOYMENT_FAULTS = (
    FaultKind.EVACUATED,
    FaultKind.TARGETS_REFUSE,
    FaultKind.FOREIGN_ROWS,
    FaultKind.ENDLESS_BYTES,
    FaultKind.CROWD,
)
"""Faults that concern many targets at once and are not drawn for one process."""
ENTRY_FAULTS = (
    FaultKind.ENTRY_PAUSED,
    FaultKind.ENTRY_KILLED,
    FaultKind.ENTRY_STOPPED,
)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of a process or its path; times are seconds from the start of faults."""

    kind: FaultKind
    subject: str
    at: float
    seconds: float
    delay: float


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault that was injected, in seconds of the machine's steady clock."""

    kind: FaultKind
    subject: str
    began_at: float
    ended_at: float

    def overlaps(self, first: float, last: float) -> bool:
        """Return whether the disturbance overlaps a span of time."""
        return self.began_at <= last and first <= self.ended_at


def draw_faults(
    rng: random.Random, entries: list[str], targets: list[str], seconds: float
) -> list[PlannedFault]:
    """
    Return faults that overlap between processes, but not on the same process.

    Each process has one series of faults with pauses.
    """
    faults = []
    for subject in [*entries, *targets]:
        kinds = [
            kind
            for kind in FaultKind
            if (kind in ENTRY_FAULTS) == (subject in entries)
            and kind not in DEPLOYMENT_FAULTS
        ]
        at = rng.uniform(0.0, seconds / 2)
        while at < seconds:
            duration = rng.uniform(*FAULT_SECONDS)
            delay = rng.uniform(*DELAY_SECONDS)
            faults.append(PlannedFault(rng.choice(kinds), subject, at, duration, delay))
            at += duration + rng.uniform(1.0, seconds / 2)
    return faults


def draw_evacuation(rng: random.Random, seconds: float) -> PlannedFault:
    """Return an evacuation that begins early enough to end before the last faults."""
    at = rng.uniform(0.0, max(seconds - EVACUATION_SECONDS, 0.0))
    return PlannedFault(
        FaultKind.EVACUATED, SECOND_DATA_CENTRE, at, EVACUATION_SECONDS, 0.0
    )


def draw_foreign_rows(rng: random.Random, seconds: float) -> list[PlannedFault]:
    """Return rows of another writer at all targets, with a field that is drawn."""
    changes = rng.sample(range(len(FOREIGN_CHANGES)), FOREIGN_ROUNDS)
    return [
        PlannedFault(
            FaultKind.FOREIGN_ROWS,
            str(change),
            rng.uniform(0.0, seconds),
            rng.uniform(*FAULT_SECONDS),
            0.0,
        )
        for change in changes
    ]


def draw_endless_bytes(rng: random.Random, seconds: float) -> PlannedFault:
    """Return a target whose bytes are no answer, of a kind that is drawn."""
    kind = rng.choice([kind for kind in EndlessKind if kind not in ANSWERING_KINDS])
    at = rng.uniform(0.0, seconds / 2)
    return PlannedFault(
        FaultKind.ENDLESS_BYTES, kind, at, ENDLESS_SECONDS, float(rng.random() < 0.5)
    )


def draw_crowd(rng: random.Random, seconds: float) -> PlannedFault:
    """Return a crowd of clients that do not behave, of a kind that is drawn."""
    kind = rng.choice([kind for kind in ClientKind if kind not in SERVED_CLIENT_KINDS])
    at = rng.uniform(0.0, seconds / 2)
    return PlannedFault(
        FaultKind.CROWD, kind, at, CROWD_SECONDS, float(rng.random() < 0.5)
    )


def draw_refusals_with_kills(
    rng: random.Random, entries: list[str], seconds: float
) -> list[PlannedFault]:
    """Return refusals by all targets while all entries are killed again and again."""
    refusals = PlannedFault(FaultKind.TARGETS_REFUSE, "targets", 0.0, seconds, 0.0)
    interval = seconds / (KILLS_OF_ALL_ENTRIES + 1)
    kills = [
        PlannedFault(
            FaultKind.ENTRY_KILLED,
            entry,
            interval * number + rng.uniform(0.0, RESTART_PAUSE_SECONDS),
            0.0,
            0.0,
        )
        for number in range(1, KILLS_OF_ALL_ENTRIES + 1)
        for entry in entries
    ]
    return [refusals, *kills]


class FaultInjector:
    """Inject planned faults and record when they began and ended."""

    def __init__(self, deployment: SoakDeployment) -> None:
        self.deployment = deployment
        self.disturbances: list[Disturbance] = []
        self.locks: dict[str, anyio.Lock] = defaultdict(anyio.Lock)

    async def run(self, faults: list[PlannedFault]) -> None:
        """Inject all faults at their times."""
        async with anyio.create_task_group() as tasks:
            for fault in faults:
                tasks.start_soon(self._inject, fault)

    async def _inject(self, fault: PlannedFault) -> None:
        await anyio.sleep(fault.at)
        async with self.locks[fault.subject]:
            began_at = time.monotonic()
            if fault.kind is FaultKind.EVACUATED:
                await self._evacuate(fault)
            elif fault.kind is FaultKind.TARGETS_REFUSE:
                await self._let_targets_refuse(fault)
            elif fault.kind is FaultKind.FOREIGN_ROWS:
                await self._write_foreign_rows(fault)
            elif fault.kind is FaultKind.ENDLESS_BYTES:
                await self._send_endless_bytes(fault)
            elif fault.kind is FaultKind.CROWD:
                await self._press(fault)
            elif fault.subject in self.deployment.entries:
                await self._disturb_entry(fault, self.deployment.entries[fault.subject])
            else:
                await self._disturb_target(fault)
            self.disturbances.append(
                Disturbance(fault.kind, fault.subject, began_at, time.monotonic())
            )

    async def _evacuate(self, fault: PlannedFault) -> None:
        key = f"evacuate/{fault.subject}"
        self.deployment.store.put("op", key, {})
        await anyio.sleep(fault.seconds)
        self.deployment.store.delete("op", key)

    async def _write_foreign_rows(self, fault: PlannedFault) -> None:
        store, change = self.deployment.store, FOREIGN_CHANGES[int(fault.subject)]
        copies = {
            f"foreign-{fault.subject}-{name}": {**row, **change}
            for name, row in self.deployment.rows.items()
        }
        for name, row in copies.items():
            store.put("servers", name, row)
        await anyio.sleep(fault.seconds)
        for name in copies:
            store.delete("servers", name)

    async def _send_endless_bytes(self, fault: PlannedFault) -> None:
        """List an endless target of each service; ``delay`` makes it trickle."""
        pace = "trickle" if fault.delay else "fast"
        kind = EndlessKind(fault.subject)
        names = {service: f"endless-{service}" for service in self.deployment.services}
        processes = [
            self.deployment.add_endless_target(name, service, kind, pace)
            for service, name in names.items()
        ]
        await anyio.sleep(fault.seconds)
        for name in names.values():
            self.deployment.store.delete("servers", name)
        await anyio.sleep(LIST_SECONDS)
        for process in processes:
            process.handle.kill()

    async def _press(self, fault: PlannedFault) -> None:
        """Press on all addresses of an entry; ``delay`` makes the clients slow."""
        kind = ClientKind(fault.subject)
        size = 0 if kind is ClientKind.NOTHING else CROWD_BYTES
        behaviour = Behaviour(kind, size, slow=bool(fault.delay and size))
        deployment, entry = self.deployment, next(iter(self.deployment.entries))
        async with anyio.create_task_group() as crowds:
            for addresses in (
                deployment.callers_addresses,
                deployment.ready_addresses,
                deployment.peer_addresses,
            ):
                crowds.start_soon(
                    press, addresses[entry], behaviour, CROWD_SIZE, fault.seconds
                )

    async def _let_targets_refuse(self, fault: PlannedFault) -> None:
        self._signal_targets(signal.SIGUSR1)
        await anyio.sleep(fault.seconds)
        self._signal_targets(signal.SIGUSR2)

    def _signal_targets(self, number: signal.Signals) -> None:
        for target in self.deployment.targets.values():
            target.process.handle.send_signal(number)

    async def _disturb_target(self, fault: PlannedFault) -> None:
        target = self.deployment.targets[fault.subject]
        proxy, handle = target.proxy, target.process.handle
        match fault.kind:
            case FaultKind.CONNECTIONS_RESET:
                await proxy.reset_connections()
            case FaultKind.TARGET_DELAYED:
                proxy.delay = fault.delay
                await anyio.sleep(fault.seconds)
                proxy.delay = 0.0
            case FaultKind.TARGET_KILLED:
                await self._kill_and_restart(target.process, fault.seconds)
            case _:
                held = HELD_DIRECTIONS[fault.kind]
                suspended = fault.kind is FaultKind.TARGET_SUSPENDED
                proxy.hold_to_target, proxy.hold_to_caller = held
                if suspended:
                    handle.send_signal(signal.SIGSTOP)
                await anyio.sleep(fault.seconds)
                if suspended:
                    handle.send_signal(signal.SIGCONT)
                proxy.hold_to_target = proxy.hold_to_caller = False

    async def _disturb_entry(self, fault: PlannedFault, entry: SoakProcess) -> None:
        match fault.kind:
            case FaultKind.ENTRY_PAUSED:
                entry.handle.send_signal(signal.SIGSTOP)
                await anyio.sleep(fault.seconds)
                entry.handle.send_signal(signal.SIGCONT)
            case FaultKind.ENTRY_KILLED:
                await self._kill_and_restart(entry, fault.seconds)
                await self._wait_until_ready(entry)
            case FaultKind.ENTRY_STOPPED:
                entry.handle.terminate()
                await anyio.to_thread.run_sync(entry.handle.wait)
                self.deployment.restart(entry)
                await self._wait_until_ready(entry)

    async def _kill_and_restart(self, process: SoakProcess, seconds: float) -> None:
        process.handle.kill()
        await anyio.to_thread.run_sync(process.handle.wait)
        await anyio.sleep(seconds)
        self.deployment.restart(process)
        await anyio.sleep(RESTART_PAUSE_SECONDS)

    async def _wait_until_ready(self, entry: SoakProcess) -> None:
        while not await self.deployment.is_ready(entry.name):
            await anyio.sleep(0.1)
