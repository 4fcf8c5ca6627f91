"""The client of the store handles each kind of response."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from briarthread_common.core.exceptions import HistoryTruncatedError, PlatformError
from briarthread_common.feeds.feed_patch import SNAPSHOT_BASE
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_platform.store import Store
from briarthread_standins.fake_network import FakeNetwork
from briarthread_standins.fake_platform_store import FakePlatformStore
from briarthread_standins.virtual_time import run_virtual

ADDRESS = "10.200.0.1:80"
ROW = Instance("entry-1", "palermo", "10.1.0.1:9", InstanceRole.ENTRY)


def with_store(scenario: Callable[[FakePlatformStore, Store], Awaitable[None]]) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            network = FakeNetwork(tasks)
            users_store = FakePlatformStore()
            network.listen(ADDRESS, "store", users_store.app)
            client = Store(network.channel("10.1.0.1:9", "palermo"), ADDRESS)
            await scenario(users_store, client)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_snapshot_of_several_pages() -> None:
    async def scenario(users_store: FakePlatformStore, client: Store) -> None:
        users_store.page_size = 2
        for number in range(5):
            users_store.put("servers", f"i-{number}", {"n": number})
        patch = await client.read_snapshot("targets")
        assert (patch.base, patch.number) == (SNAPSHOT_BASE, 5)
        assert patch.changes["i-4"] == '{"n":4}'
        assert len(patch.changes) == 5

    with_store(scenario)


def test_long_poll_waits_for_a_change_and_reports_removed_rows() -> None:
    async def scenario(users_store: FakePlatformStore, client: Store) -> None:
        users_store.put("servers", "i-1", {})
        before = (await client.read_snapshot("targets")).number

        async def change() -> None:
            await anyio.sleep(1)
            users_store.delete("servers", "i-1")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(change)
            patch = await client.long_poll("targets", before, 4.0)
        assert patch.changes == {"i-1": None}
        assert patch.number > before
        assert anyio.current_time() < 2

    with_store(scenario)


def test_long_poll_without_changes_ends_after_the_wait() -> None:
    async def scenario(users_store: FakePlatformStore, client: Store) -> None:
        patch = await client.long_poll("targets", 0, 4.0)
        assert patch.changes == {}
        assert 4 <= anyio.current_time() < 5

    with_store(scenario)


def test_truncated_history_raises_history_truncated_error() -> None:
    async def scenario(users_store: FakePlatformStore, client: Store) -> None:
        users_store.put("servers", "i-1", {})
        users_store.discard_history()
        with pytest.raises(HistoryTruncatedError):
            await client.long_poll("targets", 0, 0.0)

    with_store(scenario)


@pytest.mark.parametrize("status", [429, 503, 500])
def test_refused_call_is_a_platform_error(status: int) -> None:
    async def scenario(users_store: FakePlatformStore, client: Store) -> None:
        users_store.refusal_status = status
        with pytest.raises(PlatformError, match=str(status)):
            await client.read_snapshot("targets")

    with_store(scenario)


def test_call_to_an_unresponsive_store_times_out_within_1500_ms() -> None:
    async def scenario(users_store: FakePlatformStore, client: Store) -> None:
        users_store.unresponsive = True
        with pytest.raises(PlatformError, match="no answer"):
            await client.read_snapshot("targets")
        assert anyio.current_time() < 1.5

    with_store(scenario)


def test_instance_is_registered_in_our_own_table() -> None:
    async def scenario(users_store: FakePlatformStore, client: Store) -> None:
        await client.register_instance(ROW)
        assert b"entry-1" in users_store.value("instances", "entry-1")
        patch = await client.read_snapshot("instances")
        assert "entry-1" in patch.changes

    with_store(scenario)


def test_fencing_token_of_a_role_increases_with_each_holder() -> None:
    async def scenario(users_store: FakePlatformStore, client: Store) -> None:
        first = await client.acquire_role("maps/g", "agent-1")
        second = await client.acquire_role("maps/g", "agent-2")
        assert first is not None
        assert second is not None
        assert second > first

    with_store(scenario)


def test_role_is_not_acquired_if_its_row_changes_between_read_and_write() -> None:
    async def scenario(users_store: FakePlatformStore, client: Store) -> None:
        users_store.delayed_writes = 1
        users_store.write_delay_seconds = 0.5
        tokens: list[int | None] = []

        async def slow() -> None:
            try:
                tokens.append(await client.acquire_role("maps/g", "agent-1"))
            except PlatformError:
                tokens.append(None)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(slow)
            await anyio.sleep(0.1)
            assert await client.acquire_role("maps/g", "agent-2") is not None
        assert tokens == [None]
        assert users_store.value("seats", "maps/g") == b"agent-2"

    with_store(scenario)


def test_lost_response_to_a_write_is_an_error_although_it_took_effect() -> None:
    async def scenario(users_store: FakePlatformStore, client: Store) -> None:
        users_store.unanswered_writes = 1
        with pytest.raises(PlatformError):
            await client.register_instance(ROW)
        assert users_store.value("instances", "entry-1") is not None

    with_store(scenario)
