"""A caller receives a complete response or an error that says it gets none."""

import anyio
import pytest
from builders import run_in_world

from briarthread_common.http.app import App, ResponseAborted, Route
from briarthread_common.http.call import Call
from briarthread_standins.world import World

TIMEOUT_SECONDS = 0.5
STEP_SECONDS = 0.0005
STEPS = 80


def test_response_near_the_deadline_is_complete_or_not_started() -> None:
    async def scenario(world: World) -> None:
        statuses = set()
        for number in range(STEPS):
            for name, service in world.services.items():
                if name.startswith("cards"):
                    service.delay = TIMEOUT_SECONDS - 0.07 + number * STEP_SECONDS
            response = await world.call(
                "entry-palermo-0",
                "cards/x",
                "salon-0",
                body=b"x",
                timeout=TIMEOUT_SECONDS,
            )
            statuses.add(response.status)
            if response.status != 200:
                assert response.outcome == "unknown"
        assert statuses == {200, 504}

    run_in_world(scenario, data_centres=("palermo",), targets=1)


def test_started_idempotent_call_is_never_reported_as_not_run() -> None:
    async def scenario(world: World) -> None:
        world.services["cards-palermo-0"].delay = 60.0
        response = await world.call(
            "entry-palermo-0", "cards/x", "salon-0", body=b"x", timeout=4.0
        )
        assert world.run_count("x") == 1
        assert response.outcome == "unknown"

    run_in_world(scenario, data_centres=("palermo",), targets=1)


def test_refusal_after_an_unknown_attempt_is_not_reported_as_not_run() -> None:
    async def scenario(world: World) -> None:
        first, second = "cards-palermo-0", "cards-palermo-1"
        world.services[first].delay = 2.0
        world.entry("entry-palermo-0").router.choose = lambda states, now, rng: min(
            states, key=lambda state: state.instance.name, default=None
        )
        world.agent(second).share_guard.draining = True
        responses = []

        async def send() -> None:
            responses.append(
                await world.call("entry-palermo-0", "cards/x", "salon-0", body=b"x")
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(0.5)
            world.kill(first)
        assert world.run_count("x") == 1
        assert responses[0].outcome == "unknown"

    run_in_world(scenario, data_centres=("palermo",), targets=2)


@pytest.mark.parametrize("chunks", [[b"x" * 6_000_000], [b"part", None]])
def test_too_large_or_truncated_response_is_not_relayed(
    chunks: list[bytes | None],
) -> None:
    async def send_invalid_response(call: Call) -> None:
        await call.read_body(1000)
        await call.start(200, [("content-type", "application/json")])
        for chunk in chunks:
            if chunk is None:
                raise ResponseAborted("response truncated")
            await call.send_chunk(chunk)
        await call.finish()

    async def scenario(world: World) -> None:
        name = "diary-palermo-0"
        invalid_app = App([Route("*", "/", send_invalid_response)])
        world.network.listen(f"target-{name}", f"slot-{name}", invalid_app)
        response = await world.call("entry-palermo-0", "diary/x", "salon-0", body=b"x")
        assert response.status == 502
        assert response.outcome == "unknown"
        assert b"part" not in response.body

    run_in_world(scenario, data_centres=("palermo",), targets=1)
