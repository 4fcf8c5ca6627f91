"""
Simulation of a load on targets that announce limits or backoff or change in speed.

It runs real entries in virtual time.
"""

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from briarthread_common.core.exceptions import ChannelError
from briarthread_common.utils.hashing import rendezvous_order
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_standins.direct_config import MODEL, build_config, build_route_row
from briarthread_standins.direct_worker import DirectWorker
from briarthread_standins.direct_world import DirectWorld
from briarthread_standins.limit_results import LimitResults
from briarthread_standins.limit_scenario import (
    LimitScenario,
    LimitStep,
    RefusalStep,
    ReleaseStep,
    SlowStep,
    Step,
)
from briarthread_standins.virtual_time import run_virtual

DATA_CENTRES = ("palermo", "catania", "messina")
SETTLE_SECONDS = 5.0
RESTART_DELAY_SECONDS = 1.0
ISOLATION_SECONDS = 4.0


def simulate_limits(
    scenario: LimitScenario, prepare: Callable[[DirectEntry], None] = lambda _: None
) -> LimitResults:
    """
    Simulate a scenario and return its results.

    ``prepare`` can modify each entry before the load starts.
    """
    results = LimitResults()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = _start_world(tasks, scenario)
            for entry in world.entries.values():
                prepare(entry)
            await anyio.sleep(SETTLE_SECONDS)
            sent_before = sum(world.network.sent_bytes.values())
            start = anyio.current_time()
            async with anyio.create_task_group() as callers:
                callers.start_soon(_apply_steps, world, scenario)
                callers.start_soon(_inject_fault, world, scenario)
                await _generate_load(world, callers, scenario, results)
            workers = world.workers.values()
            results.arrivals = [[at - start for at in w.arrivals] for w in workers]
            results.refusals = [worker.refusals for worker in workers]
            results.bytes_sent = sum(world.network.sent_bytes.values()) - sent_before
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return results


def entry_names(scenario: LimitScenario) -> list[str]:
    """Return the entries' names; the one that the fault affects comes last."""
    names = [f"entry-{number}" for number in range(scenario.entries)]
    local_names = [name for name in names if data_centre_of(name) == DATA_CENTRES[0]]
    affected = rendezvous_order("target-0", local_names)[0]
    return [*(name for name in names if name != affected), affected]


def data_centre_of(name: str) -> str:
    """Return the data centre of an entry or a target by the number in its name."""
    return DATA_CENTRES[int(name.partition("-")[2]) % len(DATA_CENTRES)]


def _start_world(tasks: TaskGroup, scenario: LimitScenario) -> DirectWorld:
    world = DirectWorld(tasks, scenario.seed)
    kind = "stream" if scenario.service == MODEL else scenario.kind
    route = build_route_row(
        "/ask/", scenario.service, kind, maxAttempts=2, resumable=True
    )
    world.store.put("op", "config", build_config(routes=[route]))
    for number in range(scenario.targets):
        name = f"target-{number}"
        worker = world.add_worker(name, scenario.service, data_centre_of(name))
        worker.delay = scenario.delay
        worker.delay_sigma = scenario.delay_sigma
    for name in entry_names(scenario):
        world.add_entry(name, data_centre_of(name))
    return world


async def _apply_steps(world: DirectWorld, scenario: LimitScenario) -> None:
    start = anyio.current_time()
    for step in scenario.steps:
        await anyio.sleep(start + step.at - anyio.current_time())
        if isinstance(step, ReleaseStep):
            _release(world, scenario, step)
            continue
        for worker in list(world.workers.values())[: step.targets]:
            _apply_step(worker, step)


def _release(world: DirectWorld, scenario: LimitScenario, step: ReleaseStep) -> None:
    name = f"target-{step.target}"
    world.store.delete("servers", name)
    worker = world.add_worker(
        f"released-{step.target}", scenario.service, data_centre_of(name)
    )
    worker.delay = scenario.delay
    worker.delay_sigma = scenario.delay_sigma
    worker.slow_delay = step.delay
    worker.slow_until = anyio.current_time() + step.seconds


def _apply_step(worker: DirectWorker, step: Step) -> None:
    match step:
        case LimitStep(limit=limit):
            worker.rate_limit = limit
        case RefusalStep(seconds=seconds, retry_after=retry_after):
            now = anyio.current_time()
            worker.refusals.refuse(now, now + seconds, retry_after)
        case SlowStep(delay=delay, seconds=seconds, running=running):
            worker.slow_delay = delay
            worker.slow_until = anyio.current_time() + seconds
            worker.slow_running = running


async def _inject_fault(world: DirectWorld, scenario: LimitScenario) -> None:
    affected = entry_names(scenario)[-1]
    if not (scenario.restarted or scenario.cut_off):
        return
    await anyio.sleep(scenario.fault_at)
    if scenario.restarted:
        world.kill_entry(affected)
        await anyio.sleep(RESTART_DELAY_SECONDS)
        world.add_entry(affected, data_centre_of(affected))
        return
    peer_address = world.entries[affected].settings.listen
    world.network.freeze(peer_address, True)
    await anyio.sleep(ISOLATION_SECONDS)
    world.network.freeze(peer_address, False)


async def _generate_load(
    world: DirectWorld,
    callers: TaskGroup,
    scenario: LimitScenario,
    results: LimitResults,
) -> None:
    rng = random.Random(scenario.seed)
    names = entry_names(scenario)
    other_share = (1 - scenario.first_entry_share) / max(len(names) - 1, 1)
    weights = [scenario.first_entry_share, *[other_share] * (len(names) - 1)]
    start = anyio.current_time()
    while anyio.current_time() - start < scenario.seconds:
        await anyio.sleep(rng.expovariate(scenario.rate))
        entry = rng.choices(names, weights)[0]
        callers.start_soon(_send_request, world, scenario, entry, results)


async def _send_request(
    world: DirectWorld, scenario: LimitScenario, entry: str, results: LimitResults
) -> None:
    sent_at = anyio.current_time()
    headers = {"x-token-count": "800,100"} if scenario.service == MODEL else {}
    try:
        reply = await world.call(entry, "/ask/1", headers, body=None)
    except ChannelError:
        results.statuses[0] += 1
        return
    results.note_response(reply, anyio.current_time() - sent_at)
