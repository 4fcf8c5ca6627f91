"""A rank that turns slow holds up its group as little as possible."""

import anyio
import pytest
from direct_builders import in_group_world

from briarthread_standins.direct_agents import SERVICE, GroupWorld

SLOW = 5.0


def usable(world: GroupWorld) -> list[str]:
    """Return the ranks that an entry sends new requests to."""
    slow_ranks = world.world.entries["entry-1"].slow_ranks
    states = slow_ranks.usable(SERVICE, anyio.current_time())
    return sorted(state.target.name for state in states)


ALL = [f"rank-{number}" for number in range(4)]


@pytest.mark.parametrize("slow", range(4))
def test_slow_rank_gets_no_new_requests_and_less_of_the_experts_work(
    slow: int,
) -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(3)
        assert usable(world) == ALL
        world.group.ranks[slow].pace = SLOW
        await anyio.sleep(4)
        assert usable(world) == [name for name in ALL if name != f"rank-{slow}"]
        assert world.group.work(slow) < 1.5 / SLOW
        assert world.group.violations == []

    in_group_world(scenario)


def test_rank_that_is_well_again_is_used_again() -> None:
    async def scenario(world: GroupWorld) -> None:
        world.group.ranks[1].pace = SLOW
        await anyio.sleep(4)
        world.group.ranks[1].pace = 1.0
        await anyio.sleep(3)
        assert usable(world) == ALL
        await anyio.sleep(3)
        assert world.group.work(1) > 0.5

    in_group_world(scenario)


def test_word_of_a_dead_planner_on_slow_ranks_is_forgotten() -> None:
    async def scenario(world: GroupWorld) -> None:
        world.group.ranks[1].pace = SLOW
        await anyio.sleep(4)
        assert usable(world) != ALL
        for number in list(world.agents):
            world.kill_agent(number)
        await anyio.sleep(3)
        assert usable(world) == ALL

    in_group_world(scenario)


def test_group_of_slow_ranks_only_is_used_as_it_is() -> None:
    async def scenario(world: GroupWorld) -> None:
        for rank in world.group.ranks:
            rank.pace = SLOW
        await anyio.sleep(4)
        assert usable(world) == ALL

    in_group_world(scenario)
