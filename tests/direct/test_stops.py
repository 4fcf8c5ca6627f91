"""Planned stops lose no request, and killed entries soon serve again."""

import anyio
import pytest
from direct_builders import run_in_direct_world

from briarthread_standins.direct_world import DirectResponse, DirectWorld

ENTRIES = ("entry-1", "entry-2", "entry-3")
SIZE = {"x-token-count": "100,30"}
EVENT_IDS = [1, 2, 3, 4, 5, 6]


async def stop(world: DirectWorld, name: str) -> None:
    """Stop an entry as on SIGTERM, and close it after its drain time-out."""
    entry = world.entries[name]
    await entry.drain()
    await anyio.sleep(entry.settings.drain_timeout)
    world.kill_entry(name)


def test_requests_around_a_planned_stop_are_answered_whole() -> None:
    async def scenario(world: DirectWorld) -> None:
        replies: list[DirectResponse] = []

        async def ask(path: str) -> None:
            replies.append(await world.call("entry-1", path, SIZE))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, "/chat/1")
            await anyio.sleep(0.1)
            tasks.start_soon(stop, world, "entry-1")
            await anyio.sleep(0.01)
            assert world.entries["entry-1"].ready() == "draining"
            for _ in range(8):
                tasks.start_soon(ask, "/chat/1")
                await anyio.sleep(0.12)
        assert [reply.status for reply in replies] == [200] * 9
        assert [reply.event_ids for reply in replies] == [EVENT_IDS] * 9
        assert all(reply.complete for reply in replies)

    run_in_direct_world(scenario, entries=ENTRIES)


def test_entries_serve_at_once_after_all_were_killed() -> None:
    async def scenario(world: DirectWorld) -> None:
        for name in ENTRIES:
            world.kill_entry(name)
        await anyio.sleep(1)
        for name in ENTRIES:
            world.add_entry(name)
        await anyio.sleep(1)
        for name in ENTRIES:
            assert (await world.call(name, "/chat/1", SIZE)).event_ids == EVENT_IDS
            assert (await world.call(name, "/book/1")).status == 200

    run_in_direct_world(scenario, entries=ENTRIES)


@pytest.mark.parametrize("others", [0, 1])
def test_killed_entry_without_the_platform_has_its_peers_config_or_says_503(
    others: int,
) -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.unresponsive = True
        for name in ENTRIES[others:]:
            world.kill_entry(name)
        for name in ENTRIES[others:]:
            world.add_entry(name)
        await anyio.sleep(4)
        expected = 200 if others else 503
        for name in ENTRIES[others:]:
            assert (await world.call(name, "/list/1")).status == expected
        world.store.unresponsive = False
        await anyio.sleep(4)
        for name in ENTRIES:
            assert (await world.call(name, "/list/1")).status == 200

    run_in_direct_world(scenario, entries=ENTRIES)
