"""A group that was formed again soon has a good map, whichever agent plans."""

import anyio
import pytest
from direct_builders import run_in_group_world

from briarthread_standins.direct_agents import GroupWorld

BALANCED_SKEW = 1.5
"""Skew below which the experts of a test group count as well balanced."""
OUTAGE_SECONDS = 5.0
GOOD_MAP_SECONDS = 1.2
"""
Time from the restart of a group to a good map.

Experts load for 0.2 s, and a change is planned 0.3 s ahead.
"""


async def break_group(world: GroupWorld, seconds: float = OUTAGE_SECONDS) -> None:
    """Break the group and restart it with the first map after some time."""
    world.group.serving = False
    await anyio.sleep(seconds)
    world.group.reform()
    world.group.serving = True


async def seconds_to_good_map(world: GroupWorld) -> float:
    start = anyio.current_time()
    with anyio.move_on_after(10):
        while world.group.skew() >= BALANCED_SKEW:
            await anyio.sleep(0.02)
    return anyio.current_time() - start


@pytest.mark.parametrize("extra", [0.0, 0.3, 0.7])
def test_demand_from_before_an_outage_is_used_at_once(extra: float) -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(5)
        assert world.group.skew() < BALANCED_SKEW
        await break_group(world, OUTAGE_SECONDS + extra)
        assert world.group.skew() > 2
        assert await seconds_to_good_map(world) < GOOD_MAP_SECONDS
        assert world.group.violations == []

    run_in_group_world(scenario)


@pytest.mark.parametrize("ranks", [3, 6, 8])
def test_groups_of_other_sizes_get_a_good_map_at_once_too(ranks: int) -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(5)
        balanced_skew = world.group.skew()
        await break_group(world, 2.0)
        assert world.group.skew() > 1.2 * balanced_skew
        await anyio.sleep(GOOD_MAP_SECONDS)
        assert world.group.skew() <= 1.1 * balanced_skew
        assert world.group.violations == []

    run_in_group_world(scenario, ranks)


def test_planner_that_takes_over_during_an_outage_knows_the_demand() -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(5)
        world.kill_agent(victim := world.planner())
        world.group.serving = False
        await anyio.sleep(7)
        world.start_agent(victim)
        await break_group(world, 2.0)
        assert await seconds_to_good_map(world) < GOOD_MAP_SECONDS
        assert world.group.violations == []

    run_in_group_world(scenario)


def test_disconnected_agents_do_not_take_over_the_planner_role() -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(5)
        planner = world.planner()
        world.group.serving = False
        for number in set(world.agents) - {planner}:
            world.network.freeze(world.agent_address(number), True)
        await anyio.sleep(8)
        for number in set(world.agents) - {planner}:
            world.network.freeze(world.agent_address(number), False)
        await break_group(world, 1.0)
        await anyio.sleep(2)
        assert world.planner() == planner
        assert world.agents[planner].planner.role.is_held()

    run_in_group_world(scenario)
