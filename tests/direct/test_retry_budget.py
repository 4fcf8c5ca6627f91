"""All entries together keep the bound on retries, whatever happens to some of them."""

import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import pytest
from direct_builders import run_in_direct_world
from retry_oracle import ServiceTraffic, arrivals_beyond_the_first

from briarthread_common.core.exceptions import ChannelError
from briarthread_entry.direct.retries.shared_retry_budget import (
    RetryAllowance,
    SharedRetryBudget,
)
from briarthread_standins.direct_worker import WorkerFault
from briarthread_standins.direct_world import RETRY_ALLOWANCE, DirectWorld

Disturbance = Callable[[DirectWorld], Awaitable[None]]

ENTRIES = tuple(f"entry-{number}" for number in range(1, 7))
ADDED = tuple(f"entry-{number}" for number in range(7, 13))
DATA_CENTRES = ("palermo", "catania")
REQUEST_INTERVAL_SECONDS = 0.5
PLAY_SECONDS = 14.0


async def call(world: DirectWorld, entry: str) -> None:
    """Send a request that may be repeated; the entry may be away."""
    with contextlib.suppress(ChannelError, KeyError):
        await world.call(entry, "/list/1", method="GET", body=None)


async def send_requests(world: DirectWorld, entry: str, sent: list[float]) -> None:
    """Send requests to an entry at a steady rate, whether it is away or not."""
    async with anyio.create_task_group() as tasks:
        for _ in range(int(PLAY_SECONDS / REQUEST_INTERVAL_SECONDS)):
            sent.append(anyio.current_time())
            tasks.start_soon(call, world, entry)
            await anyio.sleep(REQUEST_INTERVAL_SECONDS)


def play_refusals(disturb: Disturbance, entries: tuple[str, ...]) -> ServiceTraffic:
    """Return what reaches targets that refuse all requests, beside a disturbance."""
    traffic = ServiceTraffic()

    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [WorkerFault.REFUSE] * 10_000
        async with anyio.create_task_group() as tasks:
            for entry in entries:
                tasks.start_soon(send_requests, world, entry, traffic.requests)
            tasks.start_soon(disturb, world)
        traffic.retries = arrivals_beyond_the_first(list(world.workers.values()))

    run_in_direct_world(scenario, ENTRIES, ranks=0, data_centres=DATA_CENTRES)
    return traffic


def restart(world: DirectWorld) -> None:
    """Kill all entries at once and start them again."""
    for entry in ENTRIES:
        world.kill_entry(entry)
    for number, entry in enumerate(ENTRIES):
        world.add_entry(entry, DATA_CENTRES[number % len(DATA_CENTRES)])


async def leave_alone(world: DirectWorld) -> None:
    """Disturb nothing."""


async def kill_all(world: DirectWorld) -> None:
    for _ in range(4):
        await anyio.sleep(2.5)
        restart(world)


async def kill_all_while_the_store_is_away(world: DirectWorld) -> None:
    world.network.partition("store", "palermo")
    for _ in range(4):
        await anyio.sleep(2.5)
        restart(world)


async def kill_in_turn_while_the_store_is_away(world: DirectWorld) -> None:
    for data_centre in DATA_CENTRES:
        world.network.partition("store", data_centre)
    for number in range(30):
        await anyio.sleep(0.4)
        entry = ENTRIES[number % len(ENTRIES)]
        world.kill_entry(entry)
        world.add_entry(entry, DATA_CENTRES[number % len(DATA_CENTRES)])


async def remove_entries_for_good(world: DirectWorld) -> None:
    for entry in ENTRIES[::2]:
        await anyio.sleep(1.5)
        await world.entries[entry].drain()
        world.kill_entry(entry)


async def cut_off_a_data_centre(world: DirectWorld) -> None:
    await anyio.sleep(2.0)
    world.network.partition("catania", "store")
    world.network.partition("catania", "palermo")
    await anyio.sleep(5.0)
    world.network.heal()


async def add_entries(world: DirectWorld) -> None:
    for entry in ADDED:
        await anyio.sleep(0.7)
        world.add_entry(entry)


@pytest.mark.parametrize(
    "disturb",
    [
        leave_alone,
        kill_all,
        kill_all_while_the_store_is_away,
        kill_in_turn_while_the_store_is_away,
        remove_entries_for_good,
        cut_off_a_data_centre,
        add_entries,
    ],
)
def test_entries_that_restart_join_or_are_cut_off_keep_the_bound_on_all_retries(
    disturb: Disturbance,
) -> None:
    entries = ENTRIES + ADDED if disturb is add_entries else ENTRIES
    traffic = play_refusals(disturb, entries)
    assert traffic.retries
    worst = traffic.worst_window(RETRY_ALLOWANCE)
    assert worst.excess <= 0, worst


@dataclass
class Fleet:
    """
    Budgets of entries that are killed at random, and what all of them sent.

    A restarted entry knows no other entry for up to ``learning_seconds``.
    """

    rng: random.Random
    allowance: RetryAllowance
    size: int
    learning_seconds: float
    budgets: list[SharedRetryBudget] = field(default_factory=list)
    traffic: ServiceTraffic = field(default_factory=ServiceTraffic)
    now: float = 0.0

    def __post_init__(self) -> None:
        self.budgets = [self._start() for _ in range(self.size)]

    def _start(self) -> SharedRetryBudget:
        knows_at = self.now + self.rng.uniform(0.0, self.learning_seconds)
        known_before = self.rng.choice((0, 1))
        return SharedRetryBudget(
            self.allowance,
            lambda: self.size if self.now >= knows_at else known_before,
            self.now,
        )

    def join(self) -> None:
        """Add an entry, which the others know at once."""
        self.size += 1
        self.budgets.append(self._start())

    def remove(self) -> None:
        """Remove an entry for good; the list keeps its row."""
        self.budgets.pop(self.rng.randrange(len(self.budgets)))

    def kill(self, share: float) -> None:
        """Kill and restart a share of the entries."""
        self.budgets = [
            self._start() if self.rng.random() < share else budget
            for budget in self.budgets
        ]

    def send(self, entry: int, wants_retry: bool) -> None:
        """Send a request to an entry; it may want a retry."""
        self.traffic.requests.append(self.now)
        self.budgets[entry].note_request("s", self.now)
        if wants_retry and self.budgets[entry].spend("s", self.now):
            self.traffic.retries.append(self.now)


def play_fleet(seed: int) -> tuple[Fleet, RetryAllowance]:
    """Play phases of load, failing targets and kills of entries, drawn at random."""
    rng = random.Random(seed)
    allowance = RetryAllowance(0.2, rng.choice((40.0, 90.0, 190.0)), 10.0)
    fleet = Fleet(rng, allowance, rng.choice((3, 9, 30)), rng.choice((0.0, 1.0)))
    weights = [rng.paretovariate(1.2) for _ in range(fleet.size)]
    for _ in range(20):
        rate, failing = rng.uniform(10.0, 200.0), rng.choice((0.0, 0.1, 1.0))
        if rng.random() < 0.5:
            fleet.kill(rng.choice((0.2, 1.0)))
        if rng.random() < 0.3:
            rng.shuffle(weights)
        phase_end = fleet.now + rng.uniform(0.5, 5.0)
        while fleet.now < phase_end:
            fleet.now += rng.expovariate(rate)
            (entry,) = rng.choices(range(fleet.size), weights)
            fleet.send(entry, rng.random() < failing)
    return fleet, allowance


@pytest.mark.parametrize("seed", range(40))
def test_fleet_keeps_the_bound_through_kills_bursts_and_shifts_of_load(
    seed: int,
) -> None:
    fleet, allowance = play_fleet(seed)
    worst = fleet.traffic.worst_window(allowance)
    assert fleet.traffic.retries
    assert worst.excess <= 0, worst


@pytest.mark.parametrize("seed", range(40))
def test_fleet_keeps_the_bound_while_entries_join_and_leave_and_traffic_falls(
    seed: int,
) -> None:
    rng = random.Random(seed)
    allowance = RetryAllowance(0.2, rng.choice((40.0, 190.0)), 10.0)
    fleet = Fleet(rng, allowance, rng.choice((4, 12)), learning_seconds=1.0)
    rate = 300.0
    for _ in range(16):
        rate *= rng.uniform(0.3, 1.1) if rate > 20.0 else rng.uniform(1.0, 15.0)
        rng.choice(
            (fleet.join, fleet.remove if len(fleet.budgets) > 1 else fleet.join)
        )()
        fleet.kill(rng.choice((0.0, 0.0, 0.3, 1.0)))
        phase_end = fleet.now + rng.uniform(0.5, 4.0)
        while fleet.now < phase_end:
            fleet.now += rng.expovariate(rate)
            fleet.send(rng.randrange(len(fleet.budgets)), wants_retry=True)
    worst = fleet.traffic.worst_window(allowance)
    assert fleet.traffic.retries
    assert worst.excess <= 0, worst


def test_fleet_that_runs_on_may_use_most_of_the_bound_in_steady_failures() -> None:
    allowance = RetryAllowance(0.2, 186.0, 10.0)
    fleet = Fleet(random.Random(1), allowance, size=30, learning_seconds=0.0)
    for number in range(130 * 40):
        fleet.now += 1 / 130
        fleet.send(number % fleet.size, wants_retry=fleet.now > 20.0)
    worst = fleet.traffic.worst_window(allowance)
    assert worst.retries >= 0.8 * worst.allowed


def test_entry_may_retry_the_streams_of_a_lost_group_at_once() -> None:
    budget = SharedRetryBudget(RetryAllowance(0.2, 186.0, 10.0), lambda: 30, 0.0)
    for number in range(86):
        budget.note_request("s", 0.23 * number)
    assert sum(budget.spend("s", 20.0) for _ in range(10)) >= 5
