"""A request that is not idempotent runs at most once, whatever fails."""

import anyio
from builders import run_in_world
from fuzz.faults import ATTEMPTS_PATH

from briarthread_standins.platform_app import PlatformMode
from briarthread_standins.world import CallerResponse, World

ENTRIES = ("entry-palermo-0", "entry-catania-0", "entry-messina-0")


async def send_booking(world: World, entry: str, key: str, body: str) -> CallerResponse:
    return await world.call(entry, "diary/b", "salon-0", key, body.encode())


def holder_of(world: World, body: str) -> str:
    return next(name for name, service in world.services.items() if service.runs[body])


def test_lost_answer_is_replayed_without_a_second_run() -> None:
    async def scenario(world: World) -> None:
        world.network.lost_responses[ATTEMPTS_PATH] = 1
        answer = await send_booking(world, ENTRIES[0], "k", "one")
        assert answer.status == 200
        assert world.run_count("one") == 1

    run_in_world(scenario)


def test_duplicated_attempt_runs_once() -> None:
    async def scenario(world: World) -> None:
        world.network.duplicated_calls[ATTEMPTS_PATH] = 1
        await send_booking(world, ENTRIES[0], "k", "one")
        assert world.run_count("one") == 1

    run_in_world(scenario)


def test_key_of_killed_holder_gets_unknown_outcome_with_retry_after() -> None:
    async def scenario(world: World) -> None:
        await send_booking(world, ENTRIES[0], "k", "one")
        name = holder_of(world, "one")
        world.kill(name)
        world.start(name)
        await anyio.sleep(5)
        again = await send_booking(world, ENTRIES[1], "k", "one")
        assert again.status == 503
        assert again.outcome == "unknown"
        assert int(again.headers["retry-after"]) > 0
        assert world.run_count("one") == 1

    run_in_world(scenario)


def test_share_of_dead_holder_is_served_after_quarantine() -> None:
    async def scenario(world: World) -> None:
        await send_booking(world, ENTRIES[0], "k", "one")
        name = holder_of(world, "one")
        world.kill(name)
        world.platform.state.remove_instances([name])
        await anyio.sleep(100)
        later = await send_booking(world, ENTRIES[0], "k2", "two")
        assert later.status == 200
        assert world.run_count("two") == 1

    run_in_world(scenario)


def test_keyless_bookings_are_served_while_shares_are_quarantined() -> None:
    async def scenario(world: World) -> None:
        for name in ("diary-palermo-0", "diary-palermo-1"):
            world.kill(name)
            world.start(name)
        await anyio.sleep(8)
        answer = await world.call(ENTRIES[0], "diary/b", "salon-0", body=b"new")
        assert answer.status == 200

    run_in_world(scenario)


def test_bookings_are_served_during_ten_minute_platform_outage() -> None:
    async def scenario(world: World) -> None:
        world.platform.state.mode = PlatformMode.DOWN
        for minute in range(10):
            await anyio.sleep(60)
            answer = await send_booking(world, ENTRIES[0], f"k{minute}", f"b{minute}")
            assert answer.status == 200

    run_in_world(scenario)


def test_bookings_are_served_in_isolated_data_centre() -> None:
    async def scenario(world: World) -> None:
        for other in ("catania", "messina", "platform"):
            world.network.partition("palermo", other)
        await anyio.sleep(60)
        answer = await send_booking(world, ENTRIES[0], "k", "one")
        assert answer.status == 200

    run_in_world(scenario)


def test_key_held_in_unreachable_data_centre_is_unknown_at_once() -> None:
    async def scenario(world: World) -> None:
        world.network.partition("palermo", "catania")
        start = world.clock.now()
        answer = await send_booking(world, ENTRIES[1], "k", "one")
        assert answer.outcome == "unknown"
        assert "retry-after" in answer.headers
        assert world.clock.now() - start < 5.0
        assert world.run_count("one") == 0

    run_in_world(scenario)


def test_holder_confirms_shares_after_freeze() -> None:
    async def scenario(world: World) -> None:
        await send_booking(world, ENTRIES[0], "k", "one")
        agent = world.agent(holder_of(world, "one"))
        agent.freeze_detector.last_tick -= 10
        assert agent.freeze_detector.check()
        await anyio.sleep(4)
        assert not agent.freeze_detector.check()
        decisions = [event.decision for event in agent.events.ring]
        assert "confirmed" in decisions

    run_in_world(scenario)


def test_leaving_holder_hands_over_records() -> None:
    async def scenario(world: World) -> None:
        first = await send_booking(world, ENTRIES[0], "k", "one")
        await world.stop(holder_of(world, "one"))
        again = await send_booking(world, ENTRIES[2], "k", "one")
        assert again.status == 200
        assert again.body == first.body
        assert world.run_count("one") == 1

    run_in_world(scenario)


def test_run_of_disconnected_caller_finishes_before_planned_stop() -> None:
    async def scenario(world: World) -> None:
        for service in world.services.values():
            service.delay = 3.0
        with anyio.move_on_after(0.2):
            await send_booking(world, ENTRIES[0], "k", "one")
        await world.stop(holder_of(world, "one"))
        again = await send_booking(world, ENTRIES[2], "k", "one")
        assert again.status == 200
        assert world.run_count("one") == 1

    run_in_world(scenario)


def test_booking_whose_caller_left_before_the_agent_read_it_is_not_run() -> None:
    async def scenario(world: World) -> None:
        agents = [world.instances[name].address for name in world.services]
        for address in agents:
            world.network.suspend(address, True)
        with anyio.move_on_after(0.2) as scope:
            await world.call(ENTRIES[0], "diary/b", "salon-0", body=b"one")
        assert scope.cancelled_caught
        await anyio.sleep(0.1)
        for address in agents:
            world.network.suspend(address, False)
        await anyio.sleep(0.5)
        assert world.run_count("one") == 0

    run_in_world(scenario)


def test_inherited_share_stays_in_quarantine_after_hand_over() -> None:
    async def scenario(world: World) -> None:
        await send_booking(world, ENTRIES[0], "k", "one")
        name = holder_of(world, "one")
        world.kill(name)
        world.platform.state.mode = PlatformMode.DOWN
        world.start(name)
        await anyio.sleep(3)
        world.platform.state.mode = PlatformMode.UP
        await world.stop(name)
        again = await send_booking(world, ENTRIES[1], "k", "one")
        assert again.outcome == "unknown"
        assert world.run_count("one") == 1

    run_in_world(scenario)


def test_run_in_progress_at_hand_over_is_answered_by_next_holder() -> None:
    async def scenario(world: World) -> None:
        for service in world.services.values():
            service.delay = 0.8
        answers: list[CallerResponse] = []

        async def send(entry: str) -> None:
            answers.append(await send_booking(world, entry, "k", "one"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, ENTRIES[0])
            await anyio.sleep(0.1)
            tasks.start_soon(world.stop, holder_of(world, "one"))
            await anyio.sleep(0.5)
            tasks.start_soon(send, ENTRIES[2])
        assert [answer.status for answer in answers] == [200, 200]
        assert world.run_count("one") == 1

    run_in_world(scenario)
