"""Regression tests of failures in the activation of maps that fuzzing found."""

import anyio
from builders import build_text
from fuzz.map_machine import CONFIRM_PATH, CONFIRM_SECONDS, GROUP_TEXT, RANKS, SITE

from briarthread_common.messages.expert_map import round_robin_map
from briarthread_entry.maps.coordinator import Coordinator
from briarthread_standins.rank_group import RankGroup
from briarthread_standins.virtual_time import run_virtual
from briarthread_standins.world import World

NEW_MAP = 7
DELAY_SECONDS = 0.3


async def start_group(tasks: anyio.abc.TaskGroup) -> tuple[World, RankGroup]:
    world = World(tasks, 0)
    world.add_entry("entry-0", SITE)
    group = world.add_group(list(RANKS), SITE, "assistant", fencing=False)
    await anyio.sleep(1)
    await world.apply(build_text((SITE,), more=GROUP_TEXT))
    await anyio.sleep(8)
    return world, group


async def activate_map(world: World, seconds: float) -> None:
    entry = world.entry("entry-0")
    channel = world.network.channel("planner", "planner")
    coordinator = Coordinator(channel, entry.directory, entry.events)
    group = entry.text.current().groups["experts"]
    with anyio.move_on_after(seconds):
        await coordinator.activate(group, round_robin_map(NEW_MAP, 1, 8, len(RANKS)), 1)


def test_delayed_confirmation_does_not_switch_a_restarted_engine() -> None:
    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            world, group = await start_group(tasks)
            address = world.instances[RANKS[0]].address
            world.network.late_seconds = DELAY_SECONDS
            world.network.delayed_calls[f"{CONFIRM_PATH}@{address}"] = 1
            await activate_map(world, CONFIRM_SECONDS)
            group.engines[0].restart()
            group.engines[0].staged = NEW_MAP
            await anyio.sleep(DELAY_SECONDS + 0.05)
            assert group.engines[0].version != NEW_MAP
            await anyio.sleep(10)
            assert group.mismatches == []
            assert {engine.version for engine in group.engines} == {NEW_MAP}
            tasks.cancel_scope.cancel()

    run_virtual(scenario)
