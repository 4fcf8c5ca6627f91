"""A group that opens anew has a good map again soon, whoever planned before."""

import anyio
import pytest
from direct_builders import in_group_world

from briarthread_standins.direct_agents import GroupWorld

SETTLED = 1.5
"""Skew under which a group of the tests counts as well placed."""
OUTAGE_SECONDS = 5.0
SOON = 1.2
"""Seconds from the opening to a good map: experts load for 0.2, and a change
lies 0.3 ahead."""


async def break_group(world: GroupWorld, seconds: float = OUTAGE_SECONDS) -> None:
    """Break the group, and have it open with the first map after some time."""
    world.group.serving = False
    await anyio.sleep(seconds)
    world.group.form_anew()
    world.group.serving = True


async def seconds_to_good_map(world: GroupWorld) -> float:
    start = anyio.current_time()
    with anyio.move_on_after(10):
        while world.group.skew() >= SETTLED:
            await anyio.sleep(0.02)
    return anyio.current_time() - start


@pytest.mark.parametrize("extra", [0.0, 0.3, 0.7])
def test_demand_known_before_an_outage_is_planned_for_at_once(extra: float) -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(5)
        assert world.group.skew() < SETTLED
        await break_group(world, OUTAGE_SECONDS + extra)
        assert world.group.skew() > 2
        assert await seconds_to_good_map(world) < SOON
        assert world.group.violations == []

    in_group_world(scenario)


@pytest.mark.parametrize("ranks", [3, 6, 8])
def test_groups_of_other_sizes_are_planned_for_at_once_as_well(ranks: int) -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(5)
        settled = world.group.skew()
        await break_group(world, 2.0)
        assert world.group.skew() > 1.2 * settled
        await anyio.sleep(SOON)
        assert world.group.skew() <= 1.1 * settled
        assert world.group.violations == []

    in_group_world(scenario, ranks)


def test_planner_that_takes_over_in_an_outage_knows_the_demand() -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(5)
        world.kill_agent(victim := world.planner())
        world.group.serving = False
        await anyio.sleep(7)
        world.start_agent(victim)
        await break_group(world, 2.0)
        assert await seconds_to_good_map(world) < SOON
        assert world.group.violations == []

    in_group_world(scenario)


def test_agent_that_was_cut_off_leaves_the_planner_its_seat() -> None:
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

    in_group_world(scenario)
