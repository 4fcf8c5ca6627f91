"""A rank that becomes slow delays its group as little as possible."""

import anyio
import pytest
from direct_builders import run_in_group_world

from briarthread_standins.direct_agents import SERVICE, GroupWorld

SLOW_PACE = 5.0


def usable_ranks(world: GroupWorld) -> list[str]:
    """Return the ranks to which an entry sends new requests."""
    slow_ranks = world.world.entries["entry-1"].slow_ranks
    states = slow_ranks.usable_ranks(SERVICE, anyio.current_time())
    return sorted(state.target.name for state in states)


ALL_RANKS = [f"rank-{number}" for number in range(4)]


@pytest.mark.parametrize("slow", range(4))
def test_slow_rank_gets_no_new_requests_and_less_expert_work(
    slow: int,
) -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(3)
        assert usable_ranks(world) == ALL_RANKS
        world.group.ranks[slow].pace = SLOW_PACE
        await anyio.sleep(4)
        assert usable_ranks(world) == [
            name for name in ALL_RANKS if name != f"rank-{slow}"
        ]
        assert world.group.relative_load(slow) < 1.5 / SLOW_PACE
        assert world.group.violations == []

    run_in_group_world(scenario)


def test_rank_that_is_no_longer_slow_is_used_again() -> None:
    async def scenario(world: GroupWorld) -> None:
        world.group.ranks[1].pace = SLOW_PACE
        await anyio.sleep(4)
        world.group.ranks[1].pace = 1.0
        await anyio.sleep(3)
        assert usable_ranks(world) == ALL_RANKS
        await anyio.sleep(3)
        assert world.group.relative_load(1) > 0.5

    run_in_group_world(scenario)


def test_slow_ranks_reported_by_a_dead_planner_expire() -> None:
    async def scenario(world: GroupWorld) -> None:
        world.group.ranks[1].pace = SLOW_PACE
        await anyio.sleep(4)
        assert usable_ranks(world) != ALL_RANKS
        for number in list(world.agents):
            world.kill_agent(number)
        await anyio.sleep(3)
        assert usable_ranks(world) == ALL_RANKS

    run_in_group_world(scenario)


def test_group_in_which_all_ranks_are_slow_is_used_unchanged() -> None:
    async def scenario(world: GroupWorld) -> None:
        for rank in world.group.ranks:
            rank.pace = SLOW_PACE
        await anyio.sleep(4)
        assert usable_ranks(world) == ALL_RANKS

    run_in_group_world(scenario)
