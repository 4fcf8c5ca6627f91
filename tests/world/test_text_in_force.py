"""An accepted text is in force everywhere within seconds and never reverts."""

import anyio
import pytest
from builders import build_text, run_in_world

from briarthread_common.core.exceptions import ChecksFailed, PlatformError
from briarthread_common.text.text_store import Accepted, Superseded
from briarthread_standins.platform_app import PlatformMode
from briarthread_standins.world import World

PROPAGATION_SECONDS = 5.0
CHANGED = build_text(diary_options="queue = 9\n")


def test_accepted_text_is_in_force_everywhere_within_seconds() -> None:
    async def scenario(world: World) -> None:
        assert await world.apply(CHANGED, base=1) == Accepted(2)
        await anyio.sleep(PROPAGATION_SECONDS)
        assert set(world.text_versions().values()) == {2}

    run_in_world(scenario)


def test_rejected_concurrent_text_is_reported_and_not_in_force() -> None:
    async def scenario(world: World) -> None:
        results = []

        async def apply(queue: int) -> None:
            text = build_text(diary_options=f"queue = {queue}\n")
            results.append(await world.apply(text, base=1))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(apply, 11)
            tasks.start_soon(apply, 12)
        outcomes = sorted(type(result).__name__ for result in results)
        assert outcomes == ["Accepted", "Superseded"]
        lost = next(result for result in results if isinstance(result, Superseded))
        assert lost.number == 2
        await anyio.sleep(PROPAGATION_SECONDS)
        queue = world.entry("entry-palermo-0").text.current().services["diary"].queue
        assert f"queue = {queue}\n" in lost.sections["service diary"]

    run_in_world(scenario)


def test_lost_response_to_a_write_is_resolved_by_reading_back() -> None:
    async def scenario(world: World) -> None:
        world.network.lost_responses["/v1/table/transactions"] = 1
        assert await world.apply(CHANGED, base=1) == Accepted(2)

    run_in_world(scenario)


def test_unreachable_platform_is_an_error_and_changes_nothing() -> None:
    async def scenario(world: World) -> None:
        world.platform.state.mode = PlatformMode.DOWN
        with pytest.raises(PlatformError):
            await world.apply(CHANGED, base=1)
        await anyio.sleep(PROPAGATION_SECONDS)
        assert set(world.text_versions().values()) == {1}

    run_in_world(scenario)


def test_isolated_data_centre_catches_up_after_the_partition() -> None:
    async def scenario(world: World) -> None:
        for other in ("palermo", "messina", "platform"):
            world.network.partition("catania", other)
        await world.apply(CHANGED, base=1)
        await anyio.sleep(30)
        assert world.text_versions()["entry-catania-0"] == 1
        world.network.heal()
        await anyio.sleep(PROPAGATION_SECONDS)
        assert set(world.text_versions().values()) == {2}

    run_in_world(scenario)


def test_data_centre_without_platform_receives_text_from_another() -> None:
    async def scenario(world: World) -> None:
        world.network.partition("catania", "platform")
        await world.apply(CHANGED, base=1)
        await anyio.sleep(19)
        assert set(world.text_versions().values()) == {2}

    run_in_world(scenario)


def test_entries_replaced_during_an_outage_get_the_text_from_agents() -> None:
    async def scenario(world: World) -> None:
        await world.apply(CHANGED, base=1)
        await anyio.sleep(PROPAGATION_SECONDS)
        world.platform.state.mode = PlatformMode.DOWN
        for other in ("palermo", "catania"):
            world.network.partition("messina", other)
        world.kill("entry-messina-0")
        world.start("entry-messina-0")
        await anyio.sleep(PROPAGATION_SECONDS)
        assert world.text_versions()["entry-messina-0"] == 2

    run_in_world(scenario)


def test_change_that_would_move_recorded_keys_is_refused() -> None:
    async def scenario(world: World) -> None:
        changed_home = build_text().replace("home = palermo", "home = messina")
        with pytest.raises(ChecksFailed, match=r"text\.E015"):
            await world.apply(changed_home, base=1)

    run_in_world(scenario)
