"""
Playing of a load on groups of ranks, through real entries and in virtual time.

Callers come at random to three entries, wait for the pauses that they were
told and come back once.
"""

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.utils.host_of import host_of
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_standins.caller_results import CallerResults
from briarthread_standins.direct_config import MODEL, build_config, build_engine_row
from briarthread_standins.direct_world import CLIENT_ADDRESS, DirectWorld
from briarthread_standins.load_scenario import LoadScenario
from briarthread_standins.loaded_group import LoadedGroup
from briarthread_standins.virtual_time import run_virtual

ENTRIES = ("entry-1", "entry-2", "entry-3")
UNEVEN = (0.5, 0.3, 0.2)
"""Callers' shares of the entries; a platform spreads them unevenly."""
SETTLE_SECONDS = 3.0
AIM, PAUSE, GIVE_UP, BUDGET = 0.4, 0.12, 2.0, 8.0
"""The callers' first-event aim, longest pause, patience and whole time, s."""
HONOURED_SHARE = 1 / 3
"""Part of the time left within which callers come back as told."""

Prepare = Callable[[DirectEntry], None]


def simulate_load(
    day: LoadScenario, prepare: Prepare = lambda _: None
) -> CallerResults:
    """Play a day and return what callers got; ``prepare`` may change entries."""
    tally = CallerResults()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = DirectWorld(tasks, day.seed)
            group = _start_groups(world, tasks, day)
            for name in ENTRIES:
                prepare(world.add_entry(name))
            if day.membership_reported and day.groups > 1:
                await register_groups(world, day.groups, day.ranks)
            await anyio.sleep(SETTLE_SECONDS)
            if day.outage_seconds:
                tasks.start_soon(_break_for_a_while, group, day)
            async with anyio.create_task_group() as callers:
                await _arrive(world, callers, day, tally)
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return tally


def _start_groups(
    world: DirectWorld, tasks: TaskGroup, day: LoadScenario
) -> LoadedGroup:
    """Start the groups, with the ranks dealt out in turn; return the first."""
    size = day.ranks // day.groups
    groups = [
        LoadedGroup(size, events=day.events_per_stream) for _ in range(day.groups)
    ]
    for group in groups:
        group.fixed_seconds, group.request_cost = day.fixed_seconds, day.request_cost
        tasks.start_soon(group.run)
    groups[-1].fixed_seconds, groups[-1].request_cost = (
        day.fixed_seconds * day.slow_factor,
        day.request_cost * day.slow_factor,
    )
    engine = {"name": MODEL, "engine": build_engine_row()}
    world.store.put("op", "config", build_config(services=[engine]))
    for number in range(size * day.groups):
        world.add_worker(f"rank-{number}", MODEL)
        address = world.addresses[f"rank-{number}"]
        app = groups[number % day.groups].app(number // day.groups)
        world.network.listen(address, "palermo", app)
    return groups[0]


async def register_groups(world: DirectWorld, groups: int, ranks: int) -> None:
    """List an agent beside each rank, with its group."""
    store = next(iter(world.entries.values())).store
    for number in range(ranks):
        host = host_of(world.addresses[f"rank-{number}"])
        row = Instance(
            f"side-{number}",
            "palermo",
            f"{host}:9",
            InstanceRole.TARGET,
            MODEL,
            group=f"g-{number % groups}",
        )
        await store.register_instance(row)


async def _break_for_a_while(group: LoadedGroup, day: LoadScenario) -> None:
    await anyio.sleep(day.outage_at)
    group.broken = True
    await anyio.sleep(day.outage_seconds)
    group.broken = False


async def _arrive(
    world: DirectWorld, callers: TaskGroup, day: LoadScenario, tally: CallerResults
) -> None:
    rng = random.Random(day.seed)
    start = anyio.current_time()
    while (passed := anyio.current_time() - start) < day.seconds:
        now = day.rate * day.burst_factor if passed < day.burst_seconds else day.rate
        await anyio.sleep(rng.expovariate(now))
        entry = rng.choices(ENTRIES, UNEVEN)[0]
        tally.requests += 1
        callers.start_soon(_be_served, world, entry, rng, tally)


async def _be_served(
    world: DirectWorld, entry: str, rng: random.Random, tally: CallerResults
) -> None:
    """Ask, come back once when refused, and note what came of it."""
    started = anyio.current_time()
    first = await _ask(world, entry, started, started, tally)
    if first is None:
        return
    tally.refused += 1
    await anyio.sleep(min(first, BUDGET * HONOURED_SHARE))
    elsewhere = rng.choice(ENTRIES)
    if await _ask(world, elsewhere, started, anyio.current_time(), tally) is not None:
        tally.refused_twice += 1


async def _ask(
    world: DirectWorld, entry: str, started: float, now: float, tally: CallerResults
) -> float | None:
    """Return the pause that a refused caller is told, ``None`` otherwise."""
    world.request_count += 1
    fields = (
        ("host", "salon.example"),
        ("x-request-id", f"request-{world.request_count}"),
        ("x-credential", "key-1"),
        ("x-deadline-ms", str(int((started + BUDGET - now) * 1000))),
        ("x-token-count", "800,100"),
    )
    front = world.entries[entry].settings.callers_listen
    call = ChannelRequest("POST", front, "/chat/1", fields, None)
    channel = world.network.channel(CLIENT_ADDRESS, "clients")
    events: list[float] = []
    try:
        with anyio.move_on_after(GIVE_UP) as patience:
            async with channel.stream(call) as response:
                if response.status != 200:
                    took = anyio.current_time() - now
                    tally.slowest_refusal = max(tally.slowest_refusal, took)
                    return float(response.headers["retry-after"])
                async for _ in response.body:
                    events.append(anyio.current_time())
                    patience.deadline = anyio.current_time() + GIVE_UP
    except ChannelError:
        events.clear()
    if patience.cancelled_caught or not events:
        tally.lost += 1
        return None
    pauses = [b - a for a, b in zip(events, events[1:], strict=False)]
    in_time = events[0] - started <= AIM and max(pauses) <= PAUSE
    tally.in_time += in_time
    tally.late += not in_time
    return None
