"""Large groups get good maps over the slow links of their instances."""

import anyio
import pytest
from direct_builders import run_in_group_world

from briarthread_standins.direct_agents import GroupWorld

LINK_BYTES_PER_SECOND = 375_000.0
"""Link rate in bytes per second: the 3 Mbit/s of the instances of 129 ranks."""
STALLED_CALLS_PER_SECOND = 40.0
"""
Calls per second and rank in a stalled group.

Six of them are calls of each agent to its own rank, which it always makes.
"""
MAP_SECONDS = 6.0
"""Time from the start of all agents within which a better map must be active."""


def shift_demand(world: GroupWorld, first: int) -> None:
    """Make a tenth of all experts popular, beginning with a given one."""
    experts = world.experts
    for demand in world.group.demand:
        for expert in range(experts):
            popular = (expert - first) % experts < experts // 10
            demand[expert] = 8.0 + expert % 7 if popular else 1.0


@pytest.mark.parametrize(("ranks", "sets"), [(12, 4), (63, 4)])
def test_better_map_is_active_within_seconds_at_any_size(ranks: int, sets: int) -> None:
    async def scenario(world: GroupWorld) -> None:
        shift_demand(world, first=1)
        before = world.group.skew()
        await anyio.sleep(MAP_SECONDS)
        assert world.group.skew() < 1 + 0.6 * (before - 1)
        shift_demand(world, first=ranks)
        shifted = world.group.skew()
        await anyio.sleep(MAP_SECONDS)
        assert world.group.skew() < 1 + 0.6 * (shifted - 1)
        assert world.group.violations == []
        assert world.group.held_seconds < 0.2

    run_in_group_world(
        scenario,
        ranks,
        False,
        sets=sets,
        experts=3 * ranks,
        link_rate=LINK_BYTES_PER_SECOND,
    )


def test_stalled_large_group_is_not_queried_by_all_of_its_agents() -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(1)
        world.group.ranks[5].held = world.group.step + 1
        world.kill_agent(5)
        world.network.freeze(world.engine_address(5), True)
        before = world.network.call_count
        await anyio.sleep(6)
        assert (world.network.call_count - before) / 6 < STALLED_CALLS_PER_SECOND * 40
        assert world.group.violations == []

    run_in_group_world(scenario, 40, False, sets=1, experts=80)
