"""Configuration and target list reach every entry, and older versions never return."""

import anyio
import pytest
from direct_builders import DIARY, build_config, build_route_row, run_in_direct_world

from briarthread_standins.direct_world import DirectWorld

ENTRIES = ("entry-1", "entry-2", "entry-3", "entry-4")
IN_FORCE_SECONDS = 2.0
"""Longest time between acknowledgement and effect that the platform's rules allow."""


def new_config(version: int) -> dict[str, object]:
    row = build_route_row(f"/v{version}/", DIARY, "safe")
    return build_config(version, routes=[*build_config()["routes"], row])


async def statuses(world: DirectWorld, path: str) -> list[int]:
    return [(await world.call(name, path)).status for name in world.entries]


def test_change_is_in_force_everywhere_within_two_seconds() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("op", "config", new_config(2))
        await anyio.sleep(IN_FORCE_SECONDS / 2)
        assert await statuses(world, "/v2/1") == [200] * 4

    run_in_direct_world(scenario, ENTRIES)


def test_removed_key_is_refused_everywhere_within_two_seconds() -> None:
    async def scenario(world: DirectWorld) -> None:
        tenants = [{"name": "salon", "apiKeys": ["key-2"]}]
        world.store.put("op", "config", build_config(2, tenants=tenants))
        await anyio.sleep(IN_FORCE_SECONDS / 2)
        assert await statuses(world, "/list/1") == [401] * 4

    run_in_direct_world(scenario, ENTRIES)


def test_no_key_is_accepted_once_the_last_account_is_removed() -> None:
    """Guards against an empty list of accounts that is read as having none."""

    async def scenario(world: DirectWorld) -> None:
        world.store.put("op", "config", build_config(2, tenants=[]))
        await anyio.sleep(IN_FORCE_SECONDS / 2)
        assert await statuses(world, "/list/1") == [401] * 4
        headers = {"x-credential": ""}
        assert (await world.call("entry-1", "/list/1", headers)).status == 401

    run_in_direct_world(scenario, ENTRIES)


def test_lower_version_is_ignored() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("op", "config", new_config(5))
        await anyio.sleep(1)
        world.store.put("op", "config", build_config(4))
        await anyio.sleep(1)
        assert await statuses(world, "/v5/1") == [200] * 4

    run_in_direct_world(scenario, ENTRIES)


def test_malformed_config_leaves_the_last_good_one_in_force() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("op", "config", b'{"version":9}')
        await anyio.sleep(1)
        assert await statuses(world, "/list/1") == [200] * 4

    run_in_direct_world(scenario, ENTRIES)


def test_malformed_worker_row_leaves_the_target_in_use() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("servers", "diary-0", b"{}")
        await anyio.sleep(1)
        assert (await world.call("entry-1", "/list/1")).status == 200

    run_in_direct_world(scenario, diaries=1)


def test_entry_without_a_config_answers_503_and_is_not_ready() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.refusal_status = 503
        entry = world.add_entry("late", "catania")
        world.network.partition("catania", "palermo")
        await anyio.sleep(2)
        reply = await world.call("late", "/list/1")
        assert reply.status == 503
        assert entry.ready()

    run_in_direct_world(scenario)


def test_entry_cut_off_from_the_store_learns_from_a_peer() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.network.partition("catania", "store")
        world.add_entry("cut", "catania")
        await anyio.sleep(3)
        assert (await world.call("cut", "/list/1")).status == 200
        world.store.put("op", "config", new_config(2))
        await anyio.sleep(IN_FORCE_SECONDS)
        assert (await world.call("cut", "/v2/1")).status == 200

    run_in_direct_world(scenario, ("entry-1", "entry-2"))


@pytest.mark.parametrize("outage", [0.5, 4.5, 9.0])
def test_change_after_an_outage_is_in_force_in_time(outage: float) -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.unresponsive = True
        await anyio.sleep(outage)
        assert await statuses(world, "/list/1") == [200] * 4
        world.store.unresponsive = False
        await anyio.sleep(3)
        world.store.put("op", "config", new_config(2))
        await anyio.sleep(IN_FORCE_SECONDS)
        assert await statuses(world, "/v2/1") == [200] * 4

    run_in_direct_world(scenario, ENTRIES)


def test_change_during_dropped_history_is_not_missed() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("op", "config", new_config(2))
        world.store.delete("servers", "diary-0")
        world.store.discard_history()
        await anyio.sleep(IN_FORCE_SECONDS)
        assert await statuses(world, "/v2/1") == [200] * 4
        seen_before = len(world.workers["diary-0"].received_headers)
        for _ in range(10):
            await world.call("entry-1", "/list/1")
        assert len(world.workers["diary-0"].received_headers) == seen_before

    run_in_direct_world(scenario, ENTRIES)


async def send_concurrent_requests(world: DirectWorld, path: str, number: int) -> None:
    """Send ``number`` requests at the same time, so that every target gets some."""

    async def ask() -> None:
        assert (await world.call("entry-2", path)).status == 200

    async with anyio.create_task_group() as tasks:
        for _ in range(number):
            tasks.start_soon(ask)


@pytest.mark.parametrize("removed", [True, False])
def test_leaving_target_gets_no_new_work_soon_after(removed: bool) -> None:
    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(3)
        await send_concurrent_requests(world, "/list/1", 20)
        assert world.workers["diary-0"].received_headers
        if removed:
            world.store.delete("servers", "diary-0")
        else:
            world.register_worker("diary-0", DIARY, state="draining")
        await anyio.sleep(IN_FORCE_SECONDS / 2)
        seen_before = len(world.workers["diary-0"].received_headers)
        await send_concurrent_requests(world, "/list/1", 20)
        assert len(world.workers["diary-0"].received_headers) == seen_before

    run_in_direct_world(scenario, ENTRIES)


def test_rows_that_expire_during_an_outage_stay_in_use_until_recovery() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.unresponsive = True
        await anyio.sleep(6)
        for name in list(world.workers):
            world.store.delete("servers", name)
        world.store.unresponsive = False
        await anyio.sleep(1.2)
        assert await statuses(world, "/list/1") == [200] * 4
        for name in list(world.workers):
            service = DIARY if name.startswith("diary") else "model"
            world.register_worker(name, service)
        await anyio.sleep(4)
        assert await statuses(world, "/list/1") == [200] * 4

    run_in_direct_world(scenario, ENTRIES)


def test_rows_still_missing_after_the_platforms_recovery_are_removed() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.unresponsive = True
        await anyio.sleep(6)
        world.store.delete("servers", "diary-0")
        world.store.unresponsive = False
        await anyio.sleep(5)
        seen_before = len(world.workers["diary-0"].received_headers)
        for _ in range(10):
            await world.call("entry-1", "/list/1")
        assert len(world.workers["diary-0"].received_headers) == seen_before

    run_in_direct_world(scenario)


def test_three_entries_of_a_data_centre_follow_for_all() -> None:
    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(5)
        calls_before = world.store.calls
        await anyio.sleep(60)
        calls_per_minute = world.store.calls - calls_before
        assert calls_per_minute <= 3 * 3 * (60 / 4 + 1)

    run_in_direct_world(scenario, ENTRIES)


def test_pollers_rejected_by_the_platform_delay_no_entry() -> None:
    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(5)
        pollers = world.entries["entry-1"].replicator.poller_selection.names()
        world.store.refused_callers = {
            world.entries[name].settings.listen for name in pollers
        }
        world.store.put("op", "config", new_config(2))
        await anyio.sleep(IN_FORCE_SECONDS)
        assert await statuses(world, "/v2/1") == [200] * 4

    run_in_direct_world(scenario, ENTRIES)


def test_change_is_in_force_in_time_while_all_pollers_are_suspended() -> None:
    """Guards against entries that wait for one suspended poller after the other."""

    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(5)
        pollers = world.entries["entry-1"].replicator.poller_selection.names()
        for name in pollers:
            world.network.freeze(world.entries[name].settings.listen, True)
        world.store.put("op", "config", new_config(2))
        await anyio.sleep(IN_FORCE_SECONDS)
        for name in set(world.entries) - set(pollers):
            assert (await world.call(name, "/v2/1")).status == 200

    run_in_direct_world(scenario, ENTRIES)


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
            assert (await world.call(name, "/v2/1")).status == 200

    run_in_direct_world(scenario, ENTRIES)


def test_entry_that_takes_no_new_connection_is_not_ready() -> None:
    """Guards against callers who are sent to an entry that resets them all."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        assert not entry.ready()
        entry.is_full = lambda: True
        assert "connections" in entry.ready()
        entry.is_full = lambda: False
        assert not entry.ready()

    run_in_direct_world(scenario)
