"""What takes a listed target out of use, and what brings it back."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from direct_builders import (
    DIARY,
    MODEL,
    build_config,
    run_in_direct_world,
)

from briarthread_entry.direct.targets.standing import Standing
from briarthread_standins.direct_config import build_engine_row, build_service_row
from briarthread_standins.direct_worker import DirectWorker
from briarthread_standins.direct_world import DirectWorld

DIARIES = 3
LISTED_SECONDS = 0.3
"""Time in seconds within which entries apply a row."""
PAUSE_SECONDS = 0.2
ROUNDS = 30
OTHER_SERVICE = "ledger"
FOREIGN_CHANGES: list[dict[str, Any]] = [
    {},
    {"state": "archived"},
    {"state": "draining"},
    {"service": "unnamed"},
    {"service": MODEL},
    {"zone": "elsewhere"},
    {"slots": 0},
    {"version": "other"},
    {"born": 1764756000123},
]
IN_NO_SERVICE = [{"name": DIARY, "maxConns": 100}]


def put_copies(world: DirectWorld, key: str = "copy", **changes: object) -> None:
    for name in list(world.workers):
        if name.startswith(DIARY):
            row = world.build_row(name, **changes)
            world.store.put("servers", f"{key}-of-{name}", row)


def delete_copies(world: DirectWorld, key: str = "copy") -> None:
    for name in list(world.workers):
        if name.startswith(DIARY):
            world.store.delete("servers", f"{key}-of-{name}")


async def count_served(world: DirectWorld, rounds: int = ROUNDS) -> int:
    """Send requests for some seconds; return how many were served."""
    served = 0
    for number in range(rounds):
        safe = number % 2
        method, path = ("GET", "/list/1") if safe else ("POST", "/book/1")
        response = await world.call(
            "entry-1", path, method=method, body=None if safe else b"x"
        )
        served += response.status == 200
        await anyio.sleep(PAUSE_SECONDS)
    return served


def diaries(world: DirectWorld) -> list[DirectWorker]:
    return [worker for name, worker in world.workers.items() if name.startswith(DIARY)]


async def drop_health_paths(world: DirectWorld) -> None:
    """Change to a configuration in which no check is possible."""
    config = build_config(version=2, services=IN_NO_SERVICE)
    world.store.put("op", "config", config)
    await anyio.sleep(LISTED_SECONDS)


Scenario = Callable[[DirectWorld], Awaitable[None]]


def run(scenario: Scenario, count: int = DIARIES) -> None:
    run_in_direct_world(scenario, diaries=count)


@pytest.mark.parametrize("change", FOREIGN_CHANGES)
@pytest.mark.parametrize("was_used", [False, True])
def test_targets_stay_in_use_beside_rows_of_another_writer(
    change: dict[str, Any], was_used: bool
) -> None:
    """Guards against a row without proof that takes a target out of use for good."""

    async def scenario(world: DirectWorld) -> None:
        if was_used:
            assert await count_served(world) == ROUNDS
        put_copies(world, **change)
        assert await count_served(world) == ROUNDS
        delete_copies(world)
        assert await count_served(world) == ROUNDS
        assert all(worker.runs for worker in diaries(world))

    run(scenario)


@pytest.mark.parametrize("change", FOREIGN_CHANGES)
def test_targets_are_used_although_rows_of_another_writer_came_first(
    change: dict[str, Any],
) -> None:
    """Guards against the row of another writer that counts as the earlier target."""

    async def scenario(world: DirectWorld) -> None:
        for number in range(DIARIES):
            world.add_worker(f"{DIARY}-{number}", DIARY, listed=False)
        put_copies(world, **change)
        await anyio.sleep(2)
        for number in range(DIARIES):
            world.register_worker(f"{DIARY}-{number}", DIARY)
        await anyio.sleep(LISTED_SECONDS)
        assert await count_served(world) == ROUNDS
        assert all(worker.runs for worker in diaries(world))

    run(scenario, count=0)


@pytest.mark.parametrize("change", [{}, {"service": "unnamed"}, {"state": "archived"}])
def test_targets_stay_in_use_while_rows_of_another_writer_change(
    change: dict[str, Any],
) -> None:
    """Guards against doubt that starts anew with each change, for hundreds of rows."""

    async def scenario(world: DirectWorld) -> None:
        async def keep_changing() -> None:
            for number in range(10):
                for copy in range(100):
                    put_copies(world, f"copy-{copy}", **change, slots=number)
                put_copies(world, f"new-{number}", **change)
                await anyio.sleep(1)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_changing)
            await anyio.sleep(LISTED_SECONDS)
            assert await count_served(world) == ROUNDS
        assert sum(worker.health_checks for worker in diaries(world)) <= 11 * DIARIES

    run(scenario)


@pytest.mark.parametrize("change", [{}, {"service": "unnamed"}, {"zone": "elsewhere"}])
def test_rows_of_another_writer_do_no_harm_where_no_check_is_possible(
    change: dict[str, Any],
) -> None:
    """Guards against a target that waits for a check that its service does not have."""

    async def scenario(world: DirectWorld) -> None:
        await drop_health_paths(world)
        put_copies(world, **change)
        await anyio.sleep(LISTED_SECONDS)
        assert await count_served(world) == ROUNDS
        await anyio.sleep(10)
        assert await count_served(world) == ROUNDS
        assert all(worker.runs for worker in diaries(world))

    run(scenario)


def test_refusals_that_callers_provoke_take_no_target_out_of_use() -> None:
    """Guards against one caller's odd header that ends the service for all others."""

    async def scenario(world: DirectWorld) -> None:
        odd = {"x-expect-version": "2"}
        async with anyio.create_task_group() as tasks:

            async def ask_oddly() -> None:
                for _ in range(20):
                    await world.call("entry-1", "/list/1", odd, "GET", None)
                    await anyio.sleep(0.05)

            for _ in range(3):
                tasks.start_soon(ask_oddly)
            assert await count_served(world) == ROUNDS
        assert await count_served(world) == ROUNDS

    run(scenario)


def test_refusals_that_callers_provoke_do_no_harm_where_no_check_is_possible() -> None:
    async def scenario(world: DirectWorld) -> None:
        await drop_health_paths(world)
        odd = {"x-expect-version": "2"}
        for _ in range(9):
            await world.call("entry-1", "/list/1", odd, "GET", None)
        assert await count_served(world) == ROUNDS

    run(scenario)


def test_refusal_of_a_rank_that_a_caller_provoked_does_not_stop_its_group() -> None:
    """Guards against a 421 with the name of a rank that passes for a broken group."""

    async def scenario(world: DirectWorld) -> None:
        size = {"x-token-count": "800,100"}
        odd = {**size, "x-expect-version": "2"}
        await world.call("entry-1", "/chat/1", odd)
        responses = [await world.call("entry-1", "/chat/1", size) for _ in range(5)]
        assert [r.status for r in responses] == [200] * 5

    run_in_direct_world(scenario)


async def give_address_away(world: DirectWorld, name: str) -> DirectWorker:
    """End a worker; return that of another service which gets its address."""
    address = world.addresses[name]
    world.network.close(address)
    await anyio.sleep(2)
    stranger = DirectWorker("stranger")
    world.network.listen(address, "palermo", stranger.app)
    world.addresses["stranger"] = address
    return stranger


def config_of_two_services() -> dict[str, object]:
    services = [
        build_service_row(MODEL, engine=build_engine_row()),
        build_service_row(DIARY),
        build_service_row(OTHER_SERVICE),
    ]
    return build_config(version=2, services=services)


@pytest.mark.parametrize("listed_first", [True, False])
@pytest.mark.parametrize("count", [1, DIARIES])
def test_no_request_reaches_the_new_owner_of_an_address(
    listed_first: bool, count: int
) -> None:
    """Guards against requests to a target of another service at a used address."""

    async def scenario(world: DirectWorld) -> None:
        world.store.put("op", "config", config_of_two_services())
        assert await count_served(world) == ROUNDS
        stranger = await give_address_away(world, "diary-0")
        if listed_first:
            world.register_worker("stranger", OTHER_SERVICE)
            await anyio.sleep(LISTED_SECONDS)
        await count_served(world)
        assert not stranger.runs
        # Without a row, the first request shows it.
        assert len(stranger.received_headers) <= (0 if listed_first else 1)
        world.register_worker("stranger", OTHER_SERVICE)
        world.store.delete("servers", "diary-0")
        await anyio.sleep(LISTED_SECONDS)
        registry = world.entries["entry-1"].registry
        assert registry.standing(registry.states["stranger"]) is Standing.TRUSTED

    run(scenario, count)


def test_new_owner_of_an_address_is_used_while_the_former_one_is_listed() -> None:
    """Guards against a new target that waits until the row of the last one expires."""

    async def scenario(world: DirectWorld) -> None:
        assert await count_served(world) == ROUNDS
        successor = await give_address_away(world, "diary-0")
        world.register_worker("stranger", DIARY)
        await anyio.sleep(LISTED_SECONDS)
        assert await count_served(world) == ROUNDS
        assert len(successor.runs) == ROUNDS

    run(scenario, 1)


def test_target_that_answers_at_its_address_again_is_used_again() -> None:
    """Guards against an absence that outlasts its evidence."""

    async def scenario(world: DirectWorld) -> None:
        worker = world.workers["diary-0"]
        worker.name = "other"
        assert await count_served(world, 5) == 0
        worker.name = "diary-0"
        await anyio.sleep(16)
        assert await count_served(world) == ROUNDS

    run(scenario, 1)


def test_check_that_waits_for_a_slot_delays_no_caller_for_long() -> None:
    """Guards against callers who wait for the check of an overloaded target."""

    async def scenario(world: DirectWorld) -> None:
        world.workers["diary-0"].health_delay = 30.0
        put_copies(world)
        await anyio.sleep(LISTED_SECONDS / 3)
        began = anyio.current_time()
        response = await world.call("entry-1", "/list/1", method="GET", body=None)
        assert response.status == 200
        assert anyio.current_time() - began < 0.4
        assert await count_served(world) == ROUNDS

    run(scenario, 1)
