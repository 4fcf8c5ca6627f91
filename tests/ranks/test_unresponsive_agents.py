"""A group gets better maps although some of its agents do not respond."""

import anyio
import pytest
from direct_builders import run_in_group_world, skew_demand

from briarthread_standins.direct_agents import GroupWorld

MAP_SECONDS = 4.0
"""
Time from a shift of demand within which a better map must be active.

Each call to a machine without power takes over half a second to fail.
"""
ORDERS_KNOWN_SECONDS = 16.0
"""Time after its start from which an agent knows that no earlier order is pending."""
MAX_HOLD_SECONDS = 1.5
"""Longest hold caused by a frozen planner; callers abandon a stream after 2 s."""
COMPLETION_SECONDS = 1.3
"""
Time from a planner's return within which its unfinished change is completed.

It covers a query of all ranks that was begun before, which takes 0.8 s to fail, and
another one.
"""


def ranks_without_planner(world: GroupWorld, number: int) -> list[int]:
    planner = world.planner()
    return [rank for rank in world.agents if rank != planner][:number]


@pytest.mark.parametrize("dead", [1, 2])
@pytest.mark.parametrize("frozen", [False, True])
def test_map_follows_demand_while_agents_do_not_respond(
    dead: int, frozen: bool
) -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(3)
        for number in ranks_without_planner(world, dead):
            if frozen:
                world.network.freeze(world.agent_address(number), True)
            else:
                world.kill_agent(number)
        skew_demand(world.group, hot=6)
        before = world.group.skew()
        await anyio.sleep(MAP_SECONDS)
        assert world.group.skew() < 1 + 0.6 * (before - 1)
        assert world.group.violations == []
        assert world.group.longest_hold_seconds < 0.3

    run_in_group_world(scenario, ranks=6)


def test_agent_that_dies_after_the_pass_is_held_does_not_stop_the_group() -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(1)
        holds = world.group.orders.count("hold")
        skew_demand(world.group, hot=6)
        with anyio.fail_after(20):
            while world.group.orders.count("hold") == holds:
                await anyio.sleep(0.002)
        world.kill_agent(ranks_without_planner(world, 4)[-1])
        await anyio.sleep(MAP_SECONDS)
        assert world.group.violations == []
        assert world.group.longest_hold_seconds < 0.7
        assert [rank.held for rank in world.group.ranks] == [None] * 6

    run_in_group_world(scenario, ranks=6)


def test_role_of_a_dead_planner_is_taken_over_within_seconds() -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(3)
        world.kill_agent(world.planner())
        await anyio.sleep(4.5)
        assert world.planner() is not None
        skew_demand(world.group, hot=6)
        before = world.group.skew()
        await anyio.sleep(MAP_SECONDS)
        assert world.group.skew() < 1 + 0.6 * (before - 1)
        assert world.group.violations == []

    run_in_group_world(scenario, ranks=6)


def test_role_is_taken_again_after_the_planner_was_started_anew() -> None:
    """Guards against agents that defer to each other and so keep a role vacant."""

    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(3)
        planner = world.planner()
        world.kill_agent(planner)
        world.start_agent(planner)
        await anyio.sleep(6)
        assert world.planner() is not None

    run_in_group_world(scenario)


def test_map_does_not_change_while_a_rank_has_no_engine() -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(3)
        gone = ranks_without_planner(world, 1)[0]
        world.kill_agent(gone)
        world.network.freeze(world.engine_address(gone), True)
        await anyio.sleep(2)
        skew_demand(world.group, hot=6)
        versions = {rank.map_version for rank in world.group.ranks}
        await anyio.sleep(MAP_SECONDS)
        assert {rank.map_version for rank in world.group.ranks} == versions
        assert world.group.violations == []

    run_in_group_world(scenario, ranks=6)


async def freeze_planner_after_its_promise(
    world: GroupWorld, seconds: float, hot: int = 6
) -> None:
    """Freeze the planner's instance as soon as a pass is promised."""
    promised = [agent.controller.promised_pass for agent in world.agents.values()]
    skew_demand(world.group, hot)
    with anyio.fail_after(20):
        while [
            agent.controller.promised_pass for agent in world.agents.values()
        ] == promised:
            await anyio.sleep(0.0005)
    planner = world.planner()
    addresses = world.agent_address(planner), world.engine_address(planner)
    for address in addresses:
        world.network.freeze(address, True)
    await anyio.sleep(seconds)
    for address in addresses:
        world.network.freeze(address, False)


@pytest.mark.parametrize("seconds", [2.0, 3.2, 4.0])
def test_large_group_continues_as_soon_as_a_frozen_planner_is_back(
    seconds: float,
) -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(1)
        await freeze_planner_after_its_promise(world, seconds)
        step = world.group.step
        await anyio.sleep(COMPLETION_SECONDS)
        assert world.group.step > step
        await anyio.sleep(MAP_SECONDS)
        assert world.group.violations == []
        assert not any(rank.held for rank in world.group.ranks)

    run_in_group_world(scenario, ranks=30, sets=2, experts=60)


@pytest.mark.parametrize(("ranks", "experts"), [(4, 12), (30, 60)])
def test_planner_frozen_after_a_promise_holds_its_group_only_briefly(
    ranks: int, experts: int
) -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(ORDERS_KNOWN_SECONDS)
        await freeze_planner_after_its_promise(world, 5.0)
        assert world.group.longest_hold_seconds < MAX_HOLD_SECONDS
        await anyio.sleep(MAP_SECONDS)
        assert world.group.violations == []
        assert not any(rank.held for rank in world.group.ranks)
        assert {rank.map_version for rank in world.group.ranks} != {0}

    run_in_group_world(scenario, ranks=ranks, experts=experts)


def test_promise_is_not_revoked_once_a_rank_may_be_armed() -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(ORDERS_KNOWN_SECONDS)
        world.group.late_seconds = 1.5
        world.group.unanswered_by_kind["arm"] = 1
        arms = world.group.unanswered_by_kind
        skew_demand(world.group, hot=6)
        with anyio.fail_after(20):
            while arms["arm"]:
                await anyio.sleep(0.0005)
        planner = world.planner()
        addresses = world.agent_address(planner), world.engine_address(planner)
        for address in addresses:
            world.network.freeze(address, True)
        await anyio.sleep(6)
        for address in addresses:
            world.network.freeze(address, False)
        await anyio.sleep(MAP_SECONDS)
        assert world.group.violations == []
        assert not any(rank.held for rank in world.group.ranks)

    run_in_group_world(scenario)


def test_planner_resumed_after_a_freeze_arms_no_rank_for_a_revoked_promise() -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(ORDERS_KNOWN_SECONDS)
        for number, seconds in enumerate((1.0, 1.2, 1.4, 1.6, 1.8, 2.5)):
            hot = 6 * ((number + 1) % 2)
            await freeze_planner_after_its_promise(world, seconds, hot)
            await anyio.sleep(MAP_SECONDS)
            assert world.group.violations == []
            assert not any(rank.held for rank in world.group.ranks)

    run_in_group_world(scenario, ranks=6)
