"""Playing of a load on targets that name limits, in virtual time."""

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
    Step,
)
from briarthread_standins.virtual_time import run_virtual

DATA_CENTRES = ("palermo", "catania", "messina")
SETTLE_SECONDS = 5.0
RESTART_SECONDS = 1.0
CUT_SECONDS = 4.0


def simulate_limits(
    day: LimitScenario, prepare: Callable[[DirectEntry], None] = lambda _: None
) -> LimitResults:
    """
    Play a day and return what the targets and callers got.

    ``prepare`` may change each entry before the load comes.
    """
    tally = LimitResults()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = _start(tasks, day)
            for entry in world.entries.values():
                prepare(entry)
            await anyio.sleep(SETTLE_SECONDS)
            sent_before = sum(world.network.sent_bytes.values())
            start = anyio.current_time()
            async with anyio.create_task_group() as callers:
                callers.start_soon(_apply_steps, world, day)
                callers.start_soon(_disturb, world, day)
                await _arrive(world, callers, day, tally)
            workers = world.workers.values()
            tally.arrivals = [[at - start for at in w.arrivals] for w in workers]
            tally.refusals = [worker.refusals for worker in workers]
            tally.bytes_sent = sum(world.network.sent_bytes.values()) - sent_before
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return tally


def entry_names(day: LimitScenario) -> list[str]:
    """Return the entries' names; the one that trouble strikes comes last."""
    names = [f"entry-{number}" for number in range(day.entries)]
    near = [name for name in names if data_centre_of(name) == DATA_CENTRES[0]]
    struck = rendezvous_order("target-0", near)[0]
    return [*(name for name in names if name != struck), struck]


def data_centre_of(name: str) -> str:
    """Return the data centre of an entry or a target by the number in its name."""
    return DATA_CENTRES[int(name.partition("-")[2]) % len(DATA_CENTRES)]


def _start(tasks: TaskGroup, day: LimitScenario) -> DirectWorld:
    world = DirectWorld(tasks, day.seed)
    kind = "stream" if day.service == MODEL else "safe"
    route = build_route_row("/ask/", day.service, kind, maxAttempts=2, resumable=True)
    world.store.put("op", "config", build_config(routes=[route]))
    for number in range(day.targets):
        name = f"target-{number}"
        world.add_worker(name, day.service, data_centre_of(name))
    for name in entry_names(day):
        world.add_entry(name, data_centre_of(name))
    return world


async def _apply_steps(world: DirectWorld, day: LimitScenario) -> None:
    start = anyio.current_time()
    for step in day.steps:
        await anyio.sleep(start + step.at - anyio.current_time())
        for worker in list(world.workers.values())[: step.targets]:
            _apply_step(worker, step)


def _apply_step(worker: DirectWorker, step: Step) -> None:
    match step:
        case LimitStep(limit=limit):
            worker.rate_limit = limit
        case RefusalStep(seconds=seconds, retry_after=retry_after):
            now = anyio.current_time()
            worker.refusals.refuse(now, now + seconds, retry_after)


async def _disturb(world: DirectWorld, day: LimitScenario) -> None:
    struck = entry_names(day)[-1]
    if not (day.restarted or day.cut_off):
        return
    await anyio.sleep(day.fault_at)
    if day.restarted:
        world.kill_entry(struck)
        await anyio.sleep(RESTART_SECONDS)
        world.add_entry(struck, data_centre_of(struck))
        return
    peer = world.entries[struck].settings.listen
    world.network.freeze(peer, True)
    await anyio.sleep(CUT_SECONDS)
    world.network.freeze(peer, False)


async def _arrive(
    world: DirectWorld, callers: TaskGroup, day: LimitScenario, tally: LimitResults
) -> None:
    rng = random.Random(day.seed)
    names = entry_names(day)
    even = (1 - day.first_entry_share) / max(len(names) - 1, 1)
    shares = [day.first_entry_share, *[even] * (len(names) - 1)]
    start = anyio.current_time()
    while anyio.current_time() - start < day.seconds:
        await anyio.sleep(rng.expovariate(day.rate))
        entry = rng.choices(names, shares)[0]
        callers.start_soon(_ask, world, day, entry, tally)


async def _ask(
    world: DirectWorld, day: LimitScenario, entry: str, tally: LimitResults
) -> None:
    asked = anyio.current_time()
    size = {"x-token-count": "800,100"} if day.service == MODEL else {}
    try:
        reply = await world.call(entry, "/ask/1", size, body=None)
    except ChannelError:
        tally.statuses[0] += 1
        return
    tally.statuses[reply.status if reply.complete else 0] += 1
    if reply.status == 503:
        tally.retry_after_seconds.append(float(reply.headers["retry-after"]))
        took = anyio.current_time() - asked
        tally.slowest_refusal = max(tally.slowest_refusal, took)
