"""Requests are served end to end."""

import anyio
import msgspec
from builders import run_in_world

from briarthread_standins.world import CallerResponse, World


def decode_problem(response: CallerResponse) -> dict[str, object]:
    return msgspec.json.decode(response.body)


def test_booking_runs_once_through_any_entry() -> None:
    async def scenario(world: World) -> None:
        first = await world.call(
            "entry-palermo-0", "diary/b", "salon-0", "key-1", b"one"
        )
        repeated = await world.call(
            "entry-catania-0", "diary/b", "salon-0", "key-1", b"one"
        )
        assert first.status == 200
        assert repeated.body == first.body
        assert world.run_count("one") == 1

    run_in_world(scenario)


def test_same_key_of_another_account_is_another_request() -> None:
    async def scenario(world: World) -> None:
        for account in ("salon-0", "salon-1"):
            response = await world.call(
                "entry-palermo-0", "diary/b", account, "key-1", account.encode()
            )
            assert msgspec.json.decode(response.body)["body"] == account

    run_in_world(scenario)


def test_key_reused_for_another_body_is_refused() -> None:
    async def scenario(world: World) -> None:
        await world.call("entry-palermo-0", "diary/b", "salon-0", "key-1", b"one")
        reused = await world.call(
            "entry-palermo-0", "diary/b", "salon-0", "key-1", b"two"
        )
        assert reused.status == 422
        assert decode_problem(reused)["outcome"] == "not-run"
        assert world.run_count("two") == 0

    run_in_world(scenario)


def test_wrong_key_does_not_reveal_services() -> None:
    async def scenario(world: World) -> None:
        known = await world.call("entry-palermo-0", "diary/b", "wrong")
        unknown = await world.call("entry-palermo-0", "nothing/b", "wrong")
        assert known.status == unknown.status == 401
        assert known.body == unknown.body

    run_in_world(scenario)


def test_unknown_service_and_bad_timeout_are_refused_as_not_run() -> None:
    async def scenario(world: World) -> None:
        unknown = await world.call("entry-palermo-0", "nothing/b", "salon-0")
        late = await world.call("entry-palermo-0", "diary/b", "salon-0", timeout=10_000)
        assert (unknown.status, late.status) == (404, 400)
        assert unknown.outcome == late.outcome == "not-run"

    run_in_world(scenario)


def test_oversized_body_is_refused() -> None:
    async def scenario(world: World) -> None:
        response = await world.call(
            "entry-palermo-0", "diary/b", "salon-0", body=b"x" * (1 << 21)
        )
        assert response.status == 413

    run_in_world(scenario)


def test_service_without_local_target_is_served_by_another_data_centre() -> None:
    async def scenario(world: World) -> None:
        for number in range(2):
            world.kill(f"cards-palermo-{number}")
        await anyio.sleep(3)
        response = await world.call("entry-palermo-0", "cards/c", "salon-0", body=b"c")
        assert response.status == 200

    run_in_world(scenario)
