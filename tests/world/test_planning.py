"""A group's map is planned, activated by all ranks, and recorded in the event log."""

import anyio
from builders import build_text, run_in_world

from briarthread_common.messages.expert_map import round_robin_map
from briarthread_common.placement.rank_loads import map_skew
from briarthread_standins.platform_app import PlatformMode
from briarthread_standins.rank_group import RankGroup
from briarthread_standins.world import World

RANKS = ["rank-0", "rank-1", "rank-2"]
EXPERTS = 6
STEP_SECONDS = 0.2
TEXT = build_text(
    ("palermo",),
    more=(
        "[service assistant]\nkind = engine\ndata_centres = palermo\n"
        "[group experts]\nservice = assistant\ndata_centre = palermo\n"
        f"targets = {', '.join(RANKS)}\nexperts = {EXPERTS}\nslots = 3\n"
    ),
)
BEST_SKEW = 1.22
"""Skew with three replicas of one hot expert and two of the other on three ranks."""
HOT_COUNTS = [[1000, 10, 10, 1000, 10, 10]]
"""Tokens of each expert; two experts are hot."""


def add_group(world: World) -> RankGroup:
    initial_map = round_robin_map(1, 1, EXPERTS, len(RANKS))
    group = world.add_group(RANKS, "palermo", "assistant", True, initial_map)
    group.step_time = STEP_SECONDS
    for engine in group.engines:
        engine.counts = [[0] * EXPERTS]
    return group


async def add_tokens(group: RankGroup, seconds: float) -> None:
    for engine in group.engines:
        engine.counts = [
            [
                old + new
                for old, new in zip(engine.counts[0], HOT_COUNTS[0], strict=True)
            ]
        ]
    await anyio.sleep(seconds)


def test_map_change_relieves_the_rank_with_the_hot_experts() -> None:
    async def scenario(world: World) -> None:
        group = add_group(world)
        await anyio.sleep(400)
        await add_tokens(group, 400)
        assert {engine.version for engine in group.engines} != {1}
        assert not group.mismatches
        engine = group.engines[0]
        assert map_skew(engine.maps[1], HOT_COUNTS) > 2.9
        assert map_skew(engine.maps[engine.version], HOT_COUNTS) < BEST_SKEW * 1.05
        decisions = [e.decision for e in world.entry("entry-palermo-0").events.ring]
        assert "map-moved" in decisions

    run_in_world(scenario, text=TEXT, data_centres=("palermo",), targets=1)


def test_platform_outage_stops_map_changes_but_not_steps() -> None:
    async def scenario(world: World) -> None:
        group = add_group(world)
        await anyio.sleep(400)
        world.platform.state.mode = PlatformMode.DOWN
        before = group.step
        await add_tokens(group, 400)
        assert {engine.version for engine in group.engines} == {1}
        assert group.step > before

    run_in_world(scenario, text=TEXT, data_centres=("palermo",), targets=1)
