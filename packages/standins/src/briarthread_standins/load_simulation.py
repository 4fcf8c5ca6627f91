"""
Simulation of a load on groups of ranks, with real entries in virtual time.

Callers choose one of the entries at random. A refused caller waits for the time
in Retry-After, within limits, and retries once.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.utils.host_of import host_of
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_standins.caller_results import CallerResults
from briarthread_standins.direct_config import (
    MODEL,
    build_config,
    build_engine_row,
    build_route_row,
)
from briarthread_standins.direct_world import CLIENT_ADDRESS, DirectWorld
from briarthread_standins.load_scenario import LoadScenario
from briarthread_standins.loaded_group import LoadedGroup
from briarthread_standins.priority_load import PriorityLoad
from briarthread_standins.virtual_time import run_virtual

ENTRIES = ("entry-1", "entry-2", "entry-3")
ENTRY_WEIGHTS = (0.5, 0.3, 0.2)
"""Shares of callers that each entry gets; a platform distributes them unevenly."""
SETTLE_SECONDS = 3.0
IDLE_TIMEOUT, DEADLINE = 2.0, 8.0
"""Timeouts of callers in seconds, for the next event and for the whole request."""
MAX_RETRY_AFTER_SHARE = 1 / 3
"""Share of its deadline up to which a caller observes Retry-After."""

CENTRES = ("palermo", "catania", "messina")
"""Data centres of more than three entries and of the ranks behind them."""
SLOWEST_ARRIVALS = 0.01
"""Requests per second below which a load counts as silent until it is checked again."""

ConfigureEntry = Callable[[DirectEntry], None]


@dataclass(frozen=True, slots=True)
class Caller:
    """
    A caller's entries, path, key and objectives in seconds.

    The objectives apply to the first event and to the gap between two events.
    """

    slo: float
    gap_slo: float
    entry: str
    retry_entries: tuple[str, ...]
    path: str
    key: str


def simulate_load(
    scenario: LoadScenario, prepare: ConfigureEntry = lambda _: None
) -> CallerResults:
    """Simulate a scenario and return its results; ``prepare`` can modify entries."""
    results = CallerResults()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = DirectWorld(tasks, scenario.seed)
            group = _start_groups(world, tasks, scenario)
            for number, name in enumerate(entry_names(scenario)):
                prepare(world.add_entry(name, _data_centre(scenario, number)))
            if scenario.membership_reported and scenario.groups > 1:
                await register_groups(world, scenario.groups, scenario.ranks)
            await anyio.sleep(SETTLE_SECONDS)
            if scenario.outage_seconds:
                tasks.start_soon(_break_temporarily, group, scenario)
            async with anyio.create_task_group() as callers:
                if scenario.priorities:
                    _start_priority_loads(world, callers, scenario, results)
                else:
                    await _generate_load(world, callers, scenario, results)
            tasks.cancel_scope.cancel()
        for part in results.parts.values():
            results.add(part)

    run_virtual(run)
    return results


def entry_names(scenario: LoadScenario) -> tuple[str, ...]:
    """Return the names of a scenario's entries."""
    return tuple(f"entry-{number + 1}" for number in range(scenario.entries))


def _data_centre(scenario: LoadScenario, number: int) -> str:
    return CENTRES[number % len(CENTRES)] if scenario.entries > 3 else CENTRES[0]


def _start_groups(
    world: DirectWorld, tasks: TaskGroup, scenario: LoadScenario
) -> LoadedGroup:
    """Start the groups, assigning ranks round-robin; return the first group."""
    size = scenario.ranks // scenario.groups
    groups = [
        LoadedGroup(size, events=scenario.events_per_stream)
        for _ in range(scenario.groups)
    ]
    for group in groups:
        group.fixed_seconds, group.request_cost = (
            scenario.fixed_seconds,
            scenario.request_cost,
        )
        tasks.start_soon(group.run)
    groups[-1].fixed_seconds, groups[-1].request_cost = (
        scenario.fixed_seconds * scenario.slow_factor,
        scenario.request_cost * scenario.slow_factor,
    )
    engine = {"name": MODEL, "engine": _build_engine_row(scenario)}
    world.store.put("op", "config", _build_config(scenario, engine))
    for number in range(size * scenario.groups):
        centre = _data_centre(scenario, number)
        world.add_worker(f"rank-{number}", MODEL, centre)
        address = world.addresses[f"rank-{number}"]
        app = groups[number % scenario.groups].app(number // scenario.groups)
        world.network.listen(address, centre, app)
    return groups[0]


def _build_engine_row(scenario: LoadScenario) -> dict[str, object]:
    """Return the engine's profile, with the group's fixed part of a pass."""
    row = build_engine_row()
    if not scenario.priorities:
        return row
    return {**row, "step_ms": scenario.fixed_seconds * 1000 / row["stride"]}


def _build_config(
    scenario: LoadScenario, engine: dict[str, object]
) -> dict[str, object]:
    """Return the configuration, with a route for each priority if there are any."""
    if not scenario.priorities:
        return build_config(services=[engine])
    routes = [
        build_route_row(
            f"/chat-{load.priority}/",
            MODEL,
            "stream",
            resumable=True,
            maxAttempts=2,
            priority=load.priority,
            timeoutMs=int(DEADLINE * 1000),
            sloMs=int(scenario.slo * 1000),
            gapTargetMs=int(scenario.gap_slo * 1000),
        )
        for load in scenario.priorities
    ]
    tenants = [
        {"name": f"account-{number}", "apiKeys": [f"key-{number}"]}
        for number in range(len(scenario.accounts))
    ]
    return build_config(services=[engine], routes=routes, tenants=tenants)


async def register_groups(world: DirectWorld, groups: int, ranks: int) -> None:
    """Register an agent for each rank, with its group."""
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


async def _break_temporarily(group: LoadedGroup, scenario: LoadScenario) -> None:
    await anyio.sleep(scenario.outage_at)
    group.broken = True
    await anyio.sleep(scenario.outage_seconds)
    group.broken = False


async def _generate_load(
    world: DirectWorld,
    callers: TaskGroup,
    scenario: LoadScenario,
    results: CallerResults,
) -> None:
    rng = random.Random(scenario.seed)
    start = anyio.current_time()
    while (elapsed := anyio.current_time() - start) < scenario.seconds:
        rate = (
            scenario.rate * scenario.burst_factor
            if elapsed < scenario.burst_seconds
            else scenario.rate
        )
        await anyio.sleep(rng.expovariate(rate))
        entry = rng.choices(ENTRIES, ENTRY_WEIGHTS)[0]
        results.requests += 1
        caller = Caller(
            scenario.slo, scenario.gap_slo, entry, ENTRIES, "/chat/1", "key-1"
        )
        callers.start_soon(_send_with_retry, world, caller, rng, results)


def _start_priority_loads(
    world: DirectWorld,
    callers: TaskGroup,
    scenario: LoadScenario,
    results: CallerResults,
) -> None:
    for load in scenario.priorities:
        callers.start_soon(
            _generate_priority_load, world, callers, scenario, load, results
        )


async def _generate_priority_load(
    world: DirectWorld,
    callers: TaskGroup,
    scenario: LoadScenario,
    load: PriorityLoad,
    results: CallerResults,
) -> None:
    """Send the requests of one priority from all accounts."""
    rng = random.Random(f"{scenario.seed}/{load.priority}")
    entries = entry_names(scenario)
    start = anyio.current_time()
    while (elapsed := anyio.current_time() - start) < scenario.seconds:
        rate = load.rate_at(elapsed)
        if rate < SLOWEST_ARRIVALS:
            await anyio.sleep(0.1)
            continue
        await anyio.sleep(rng.expovariate(rate))
        number = rng.choices(range(len(scenario.accounts)), scenario.accounts)[0]
        part = results.part(load.priority, f"account-{number}")
        part.requests += 1
        caller = Caller(
            scenario.slo,
            scenario.gap_slo,
            rng.choice(entries),
            entries,
            f"/chat-{load.priority}/1",
            f"key-{number}",
        )
        callers.start_soon(_send_with_retry, world, caller, rng, part)


async def _send_with_retry(
    world: DirectWorld, caller: Caller, rng: random.Random, results: CallerResults
) -> None:
    """Send a request, retry it once when refused, and record the outcome."""
    started = anyio.current_time()
    retry_after = await _send_request(
        world, caller, caller.entry, started, started, results
    )
    if retry_after is None:
        return
    results.refused += 1
    await anyio.sleep(min(retry_after, DEADLINE * MAX_RETRY_AFTER_SHARE))
    retry_entry = rng.choice(caller.retry_entries)
    sent_at = anyio.current_time()
    if (
        await _send_request(world, caller, retry_entry, started, sent_at, results)
        is not None
    ):
        results.refused_twice += 1


async def _send_request(
    world: DirectWorld,
    caller: Caller,
    entry: str,
    started: float,
    sent_at: float,
    results: CallerResults,
) -> float | None:
    """Return the Retry-After seconds of a refusal, ``None`` otherwise."""
    world.request_count += 1
    fields = (
        ("host", "salon.example"),
        ("x-request-id", f"request-{world.request_count}"),
        ("x-credential", caller.key),
        ("x-deadline-ms", str(int((started + DEADLINE - sent_at) * 1000))),
        ("x-token-count", "800,100"),
    )
    callers_address = world.entries[entry].settings.callers_listen
    request = ChannelRequest("POST", callers_address, caller.path, fields, None)
    channel = world.network.channel(CLIENT_ADDRESS, "clients")
    events: list[float] = []
    try:
        with anyio.move_on_after(IDLE_TIMEOUT) as timeout:
            async with channel.stream(request) as response:
                if response.status != 200:
                    duration = anyio.current_time() - sent_at
                    results.slowest_refusal = max(results.slowest_refusal, duration)
                    return float(response.headers["retry-after"])
                async for _ in response.body:
                    events.append(anyio.current_time())
                    timeout.deadline = anyio.current_time() + IDLE_TIMEOUT
    except ChannelError:
        events.clear()
    if timeout.cancelled_caught or not events:
        results.lost += 1
        return None
    gaps = [b - a for a, b in zip(events, events[1:], strict=False)]
    in_time = events[0] - started <= caller.slo and max(gaps) <= caller.gap_slo
    results.in_time += in_time
    results.late += not in_time
    return None
