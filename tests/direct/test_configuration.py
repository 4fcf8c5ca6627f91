"""Configuration and target list reach every entry, and older versions never return."""

import anyio
import pytest
from direct_builders import DIARY, build_config, build_route_row, in_direct_world

from briarthread_standins.direct_world import DirectWorld

ENTRIES = ("entry-1", "entry-2", "entry-3", "entry-4")
IN_FORCE_SECONDS = 2.0
"""Longest time between acknowledgement and effect that the platform's rules allow."""


def new_config(version: int) -> dict[str, object]:
    row = build_route_row(f"/v{version}/", DIARY, "safe")
    return build_config(version, routes=[*build_config()["routes"], row])


async def statuses(world: DirectWorld, path: str) -> list[int]:
    return [(await world.ask(name, path)).status for name in world.entries]


def test_change_is_in_force_everywhere_within_two_seconds() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("op", "config", new_config(2))
        await anyio.sleep(IN_FORCE_SECONDS / 2)
        assert await statuses(world, "/v2/1") == [200] * 4

    in_direct_world(scenario, ENTRIES)


def test_removed_key_is_refused_everywhere_within_two_seconds() -> None:
    async def scenario(world: DirectWorld) -> None:
        tenants = [{"name": "salon", "apiKeys": ["key-2"]}]
        world.store.put("op", "config", build_config(2, tenants=tenants))
        await anyio.sleep(IN_FORCE_SECONDS / 2)
        assert await statuses(world, "/list/1") == [401] * 4

    in_direct_world(scenario, ENTRIES)


def test_lower_version_is_ignored() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("op", "config", new_config(5))
        await anyio.sleep(1)
        world.store.put("op", "config", build_config(4))
        await anyio.sleep(1)
        assert await statuses(world, "/v5/1") == [200] * 4

    in_direct_world(scenario, ENTRIES)


def test_malformed_config_leaves_the_last_good_one_in_force() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("op", "config", b'{"version":9}')
        await anyio.sleep(1)
        assert await statuses(world, "/list/1") == [200] * 4

    in_direct_world(scenario, ENTRIES)


def test_malformed_worker_row_leaves_the_target_in_use() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("servers", "diary-0", b"{}")
        await anyio.sleep(1)
        assert (await world.ask("entry-1", "/list/1")).status == 200

    in_direct_world(scenario, diaries=1)


def test_entry_without_a_config_answers_503_and_is_not_ready() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.refuse = 503
        entry = world.add_entry("late", "catania")
        world.network.cut("catania", "palermo")
        await anyio.sleep(2)
        reply = await world.ask("late", "/list/1")
        assert reply.status == 503
        assert entry.ready()

    in_direct_world(scenario)


def test_entry_cut_off_from_the_store_learns_from_a_peer() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.network.cut("catania", "store")
        world.add_entry("cut", "catania")
        await anyio.sleep(3)
        assert (await world.ask("cut", "/list/1")).status == 200
        world.store.put("op", "config", new_config(2))
        await anyio.sleep(IN_FORCE_SECONDS)
        assert (await world.ask("cut", "/v2/1")).status == 200

    in_direct_world(scenario, ("entry-1", "entry-2"))


@pytest.mark.parametrize("outage", [0.5, 4.5, 9.0])
def test_change_after_an_outage_is_in_force_in_time(outage: float) -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.silent = True
        await anyio.sleep(outage)
        assert await statuses(world, "/list/1") == [200] * 4
        world.store.silent = False
        await anyio.sleep(3)
        world.store.put("op", "config", new_config(2))
        await anyio.sleep(IN_FORCE_SECONDS)
        assert await statuses(world, "/v2/1") == [200] * 4

    in_direct_world(scenario, ENTRIES)


def test_change_during_dropped_history_is_not_missed() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("op", "config", new_config(2))
        world.store.drop("servers", "diary-0")
        world.store.forget()
        await anyio.sleep(IN_FORCE_SECONDS)
        assert await statuses(world, "/v2/1") == [200] * 4
        seen_before = len(world.workers["diary-0"].seen)
        for _ in range(10):
            await world.ask("entry-1", "/list/1")
        assert len(world.workers["diary-0"].seen) == seen_before

    in_direct_world(scenario, ENTRIES)


async def send_concurrent_requests(world: DirectWorld, path: str, number: int) -> None:
    """Send ``number`` requests at the same time, so that every target gets some."""

    async def ask() -> None:
        assert (await world.ask("entry-2", path)).status == 200

    async with anyio.create_task_group() as tasks:
        for _ in range(number):
            tasks.start_soon(ask)


@pytest.mark.parametrize("removed", [True, False])
def test_leaving_target_gets_no_new_work_soon_after(removed: bool) -> None:
    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(3)
        await send_concurrent_requests(world, "/list/1", 20)
        assert world.workers["diary-0"].seen
        if removed:
            world.store.drop("servers", "diary-0")
        else:
            world.list_worker("diary-0", DIARY, state="draining")
        await anyio.sleep(IN_FORCE_SECONDS / 2)
        seen_before = len(world.workers["diary-0"].seen)
        await send_concurrent_requests(world, "/list/1", 20)
        assert len(world.workers["diary-0"].seen) == seen_before

    in_direct_world(scenario, ENTRIES)


def test_rows_that_expire_during_an_outage_stay_in_use_until_recovery() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.silent = True
        await anyio.sleep(6)
        for name in list(world.workers):
            world.store.drop("servers", name)
        world.store.silent = False
        await anyio.sleep(1.2)
        assert await statuses(world, "/list/1") == [200] * 4
        for name in list(world.workers):
            service = DIARY if name.startswith("diary") else "model"
            world.list_worker(name, service)
        await anyio.sleep(4)
        assert await statuses(world, "/list/1") == [200] * 4

    in_direct_world(scenario, ENTRIES)


def test_rows_still_missing_after_the_platforms_recovery_are_removed() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.silent = True
        await anyio.sleep(6)
        world.store.drop("servers", "diary-0")
        world.store.silent = False
        await anyio.sleep(5)
        seen_before = len(world.workers["diary-0"].seen)
        for _ in range(10):
            await world.ask("entry-1", "/list/1")
        assert len(world.workers["diary-0"].seen) == seen_before

    in_direct_world(scenario)


def test_three_entries_of_a_data_centre_follow_for_all() -> None:
    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(5)
        calls_before = world.store.calls
        await anyio.sleep(60)
        calls_per_minute = world.store.calls - calls_before
        assert calls_per_minute <= 3 * 3 * (60 / 4 + 1)

    in_direct_world(scenario, ENTRIES)


def test_pollers_rejected_by_the_platform_delay_no_entry() -> None:
    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(5)
        pollers = world.entries["entry-1"].replicator.poller_selection.names()
        world.store.turned_away = {
            world.entries[name].settings.listen for name in pollers
        }
        world.store.put("op", "config", new_config(2))
        await anyio.sleep(IN_FORCE_SECONDS)
        assert await statuses(world, "/v2/1") == [200] * 4

    in_direct_world(scenario, ENTRIES)


def test_pollers_that_die_are_replaced_in_time() -> None:
    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(5)
        pollers = world.entries["entry-1"].replicator.poller_selection.names()
        for name in pollers:
            entry = world.entries[name]
            world.network.freeze(entry.settings.listen, True)
        await anyio.sleep(3)
        world.store.put("op", "config", new_config(2))
        await anyio.sleep(IN_FORCE_SECONDS)
        for name in set(world.entries) - set(pollers):
            assert (await world.ask(name, "/v2/1")).status == 200

    in_direct_world(scenario, ENTRIES)
