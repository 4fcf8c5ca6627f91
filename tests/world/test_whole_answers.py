"""A caller receives a whole answer, or is told that it gets none."""

import anyio
import pytest
from builders import run_in_world

from briarthread_common.http.app import AnswerAborted, App, Route
from briarthread_common.http.call import Call
from briarthread_standins.world import World

TIMEOUT = 0.5
STEP = 0.0005
STEPS = 80


def test_answer_that_comes_at_the_deadline_is_whole_or_not_begun() -> None:
    async def scenario(world: World) -> None:
        statuses = set()
        for number in range(STEPS):
            for name, service in world.services.items():
                if name.startswith("cards"):
                    service.delay = TIMEOUT - 0.07 + number * STEP
            answer = await world.call(
                "entry-palermo-0", "cards/x", "salon-0", body=b"x", timeout=TIMEOUT
            )
            statuses.add(answer.status)
            if answer.status != 200:
                assert answer.outcome == "unknown"
        assert statuses == {200, 504}

    run_in_world(scenario, data_centres=("palermo",), targets=1)


def test_repeatable_call_that_was_begun_is_never_told_not_run() -> None:
    async def scenario(world: World) -> None:
        world.services["cards-palermo-0"].delay = 60.0
        answer = await world.call(
            "entry-palermo-0", "cards/x", "salon-0", body=b"x", timeout=4.0
        )
        assert world.run_count("x") == 1
        assert answer.outcome == "unknown"

    run_in_world(scenario, data_centres=("palermo",), targets=1)


def test_refusal_after_an_attempt_that_may_have_run_is_not_called_not_run() -> None:
    async def scenario(world: World) -> None:
        first, second = "cards-palermo-0", "cards-palermo-1"
        world.services[first].delay = 2.0
        world.entry("entry-palermo-0").router.choose = lambda states, now, rng: min(
            states, key=lambda state: state.instance.name, default=None
        )
        world.agent(second).share_guard.draining = True
        answers = []

        async def ask() -> None:
            answers.append(
                await world.call("entry-palermo-0", "cards/x", "salon-0", body=b"x")
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(0.5)
            world.kill(first)
        assert world.run_count("x") == 1
        assert answers[0].outcome == "unknown"

    run_in_world(scenario, data_centres=("palermo",), targets=2)


@pytest.mark.parametrize("chunks", [[b"x" * 6_000_000], [b"part", None]])
def test_answer_too_large_or_cut_short_is_never_passed_on(
    chunks: list[bytes | None],
) -> None:
    async def answer_badly(call: Call) -> None:
        await call.read_body(1000)
        await call.start(200, [("content-type", "application/json")])
        for chunk in chunks:
            if chunk is None:
                raise AnswerAborted("cut")
            await call.send_chunk(chunk)
        await call.finish()

    async def scenario(world: World) -> None:
        name = "diary-palermo-0"
        bad = App([Route("*", "/", answer_badly)])
        world.network.listen(f"target-{name}", f"slot-{name}", bad)
        answer = await world.call("entry-palermo-0", "diary/x", "salon-0", body=b"x")
        assert answer.status == 502
        assert answer.outcome == "unknown"
        assert b"part" not in answer.body

    run_in_world(scenario, data_centres=("palermo",), targets=1)
