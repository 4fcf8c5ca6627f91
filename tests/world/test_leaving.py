"""A leaving target gets no new attempts; a planned stop fails no request."""

import anyio
from builders import run_in_world

from briarthread_standins.world import DRAIN_NOTICE, CallerResponse, World

ENTRY = "entry-palermo-0"
PROPAGATION_SECONDS = 3.0
"""Time after which all entries know that a target is leaving."""


async def send_requests(
    world: World, service: str, count: int, keyed: bool = False
) -> list[CallerResponse]:
    answers: list[CallerResponse] = []

    async def send(number: int) -> None:
        key = f"k{number}" if keyed else None
        body = f"{service}-{number}".encode()
        answers.append(
            await world.call(ENTRY, f"{service}/x", "salon-0", key, body, timeout=10)
        )

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(send, number)
            await anyio.sleep(0.02)
    return answers


def test_draining_target_gets_no_new_attempts() -> None:
    async def scenario(world: World) -> None:
        leaving = world.agent("cards-palermo-0")
        leaving.reporter.announce_drain()
        await anyio.sleep(0.5)
        before = world.services["cards-palermo-0"].runs.total()
        await send_requests(world, "cards", 30)
        assert world.services["cards-palermo-0"].runs.total() == before

    run_in_world(scenario)


def test_target_listed_as_leaving_gets_no_new_attempts() -> None:
    async def scenario(world: World) -> None:
        world.mark_leaving("cards-palermo-0")
        await anyio.sleep(PROPAGATION_SECONDS)
        before = world.services["cards-palermo-0"].runs.total()
        await send_requests(world, "cards", 30)
        assert world.services["cards-palermo-0"].runs.total() == before

    run_in_world(scenario)


def test_unresponsive_target_gets_no_new_attempts_after_a_timeout() -> None:
    async def scenario(world: World) -> None:
        world.network.freeze(world.instances["cards-palermo-0"].address, True)
        await anyio.sleep(15)
        answers = await send_requests(world, "cards", 30)
        assert {answer.status for answer in answers} == {200}
        assert (
            max(world.entry(ENTRY).table.states["cards-palermo-0"].sent_since_report, 0)
            == 0
        )

    run_in_world(scenario)


def test_planned_stop_of_every_agent_in_turn_fails_no_request() -> None:
    async def scenario(world: World) -> None:
        answers: list[CallerResponse] = []

        async def send_all(service: str, keyed: bool) -> None:
            answers.extend(await send_requests(world, service, 400, keyed))

        async def restart_agents() -> None:
            for name in ("diary-palermo-0", "diary-palermo-1", "cards-palermo-0"):
                await world.stop(name)
                await anyio.sleep(0.1)
                world.start(name)
                await anyio.sleep(1)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_all, "diary", True)
            tasks.start_soon(send_all, "diary", False)
            tasks.start_soon(send_all, "cards", False)
            tasks.start_soon(restart_agents)
        assert len(answers) == 1200
        failed = [answer for answer in answers if answer.status != 200]
        assert failed == []

    run_in_world(scenario)


def test_stopping_entry_answers_its_requests_in_flight() -> None:
    async def scenario(world: World) -> None:
        for service in world.services.values():
            service.delay = 0.5
        answers: list[CallerResponse] = []

        async def send() -> None:
            answers.append(await world.call(ENTRY, "diary/x", "salon-0", "k", b"b"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(0.1)
            await world.stop(ENTRY)
        assert [answer.status for answer in answers] == [200]

    run_in_world(scenario)


def test_stopping_agent_is_unusable_while_still_connected() -> None:
    async def scenario(world: World) -> None:
        name = "cards-palermo-0"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.stop, name)
            await anyio.sleep(0.3)
            state = world.entry(ENTRY).table.states[name]
            assert state.connected
            assert not state.usable(world.clock.now())

    run_in_world(scenario)


def test_stopped_agent_does_not_wait_for_its_load_streams() -> None:
    async def scenario(world: World) -> None:
        start = world.clock.now()
        await world.stop("cards-palermo-0")
        assert world.clock.now() - start < 2 * DRAIN_NOTICE

    run_in_world(scenario)


def test_agent_refuses_new_attempts_once_its_target_announces_a_shutdown() -> None:
    async def scenario(world: World) -> None:
        target = world.services["cards-palermo-0"]
        target.leaving = True
        answers = await send_requests(world, "cards", 30)
        assert {answer.status for answer in answers} == {200}
        await anyio.sleep(PROPAGATION_SECONDS)
        before = target.runs.total()
        assert before > 0
        answers = await send_requests(world, "cards", 30)
        assert {answer.status for answer in answers} == {200}
        assert target.runs.total() == before

    run_in_world(scenario)


# Guards against a second run of a key after its holder stops accepting attempts.
def test_keys_held_by_the_agent_of_a_leaving_target_are_handed_over() -> None:
    async def scenario(world: World) -> None:
        leaving = world.services["diary-palermo-0"]
        leaving.leaving = True
        answers = await send_requests(world, "diary", 20, keyed=True)
        assert leaving.runs.total() > 0
        await anyio.sleep(PROPAGATION_SECONDS)
        again = await send_requests(world, "diary", 20, keyed=True)
        assert {answer.status for answer in again} == {200}
        assert [a.body for a in again] == [a.body for a in answers if a.status == 200]

    run_in_world(scenario)
