"""
Simulation of a load on groups of ranks, with real entries in virtual time.

Callers choose one of three entries at random. A refused caller waits for the time
in Retry-After, within limits, and retries once.
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
ENTRY_WEIGHTS = (0.5, 0.3, 0.2)
"""Shares of callers that each entry gets; a platform distributes them unevenly."""
SETTLE_SECONDS = 3.0
SLO, GAP_SLO, IDLE_TIMEOUT, DEADLINE = 0.4, 0.12, 2.0, 8.0
"""
Times of callers in seconds: objectives and timeouts.

The objectives apply to the first event and to the gap between two events, the timeouts
to the wait for the next event and to the whole request.
"""
MAX_RETRY_AFTER_SHARE = 1 / 3
"""Share of its deadline up to which a caller observes Retry-After."""

ConfigureEntry = Callable[[DirectEntry], None]


def simulate_load(
    scenario: LoadScenario, prepare: ConfigureEntry = lambda _: None
) -> CallerResults:
    """Simulate a scenario and return its results; ``prepare`` can modify entries."""
    results = CallerResults()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = DirectWorld(tasks, scenario.seed)
            group = _start_groups(world, tasks, scenario)
            for name in ENTRIES:
                prepare(world.add_entry(name))
            if scenario.membership_reported and scenario.groups > 1:
                await register_groups(world, scenario.groups, scenario.ranks)
            await anyio.sleep(SETTLE_SECONDS)
            if scenario.outage_seconds:
                tasks.start_soon(_break_temporarily, group, scenario)
            async with anyio.create_task_group() as callers:
                await _generate_load(world, callers, scenario, results)
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return results


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
    engine = {"name": MODEL, "engine": build_engine_row()}
    world.store.put("op", "config", build_config(services=[engine]))
    for number in range(size * scenario.groups):
        world.add_worker(f"rank-{number}", MODEL)
        address = world.addresses[f"rank-{number}"]
        app = groups[number % scenario.groups].app(number // scenario.groups)
        world.network.listen(address, "palermo", app)
    return groups[0]


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
        callers.start_soon(_send_with_retry, world, entry, rng, results)


async def _send_with_retry(
    world: DirectWorld, entry: str, rng: random.Random, results: CallerResults
) -> None:
    """Send a request, retry it once when refused, and record the outcome."""
    started = anyio.current_time()
    retry_after = await _send_request(world, entry, started, started, results)
    if retry_after is None:
        return
    results.refused += 1
    await anyio.sleep(min(retry_after, DEADLINE * MAX_RETRY_AFTER_SHARE))
    retry_entry = rng.choice(ENTRIES)
    if (
        await _send_request(world, retry_entry, started, anyio.current_time(), results)
        is not None
    ):
        results.refused_twice += 1


async def _send_request(
    world: DirectWorld,
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
        ("x-credential", "key-1"),
        ("x-deadline-ms", str(int((started + DEADLINE - sent_at) * 1000))),
        ("x-token-count", "800,100"),
    )
    callers_address = world.entries[entry].settings.callers_listen
    request = ChannelRequest("POST", callers_address, "/chat/1", fields, None)
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
    in_time = events[0] - started <= SLO and max(gaps) <= GAP_SLO
    results.in_time += in_time
    results.late += not in_time
    return None
