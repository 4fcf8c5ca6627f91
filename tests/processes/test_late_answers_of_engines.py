"""Answers that an engine sends again, late, from real sockets to its agent."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from briarthread_agent.maps.engine_client import EngineClient
from briarthread_common.core.exceptions import ChannelError
from briarthread_common.http.http_channel import HttpChannel
from briarthread_common.messages.engine_order import (
    STATE_PATH,
    EngineState,
    OrderAnswer,
    OrderKind,
)
from processes.repeating_target import Asked, RepeatingTarget, build_json_answer

VERSION = 7
HOLD_STEP = 40
Scenario = Callable[[RepeatingTarget, EngineClient], Awaitable[None]]


def refuse_orders(asked: Asked) -> bytes:
    """Answer like an engine that is at step 30 and refuses every order."""
    state = EngineState(step=30, version=6, staged=VERSION)
    if asked.path == STATE_PATH:
        return build_json_answer(state)
    return build_json_answer(OrderAnswer(False, state, "refused"))


def run_before_engine(scenario: Scenario) -> None:
    """Play a scenario at an agent's client of an engine."""

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            engine = RepeatingTarget(refuse_orders)
            channel = HttpChannel()
            client = EngineClient(channel, await engine.start(tasks), epoch=1)
            with anyio.fail_after(5):
                await scenario(engine, client)
            await channel.close()
            tasks.cancel_scope.cancel()

    anyio.run(play)


def test_late_answer_to_another_order_is_no_hold() -> None:
    """Guards against ranks on two maps after a hold that was refused."""

    async def scenario(engine: RepeatingTarget, client: EngineClient) -> None:
        staged = EngineState(step=29, version=6, staged=VERSION)
        engine.late.append(build_json_answer(OrderAnswer(True, staged)))
        await client.state()
        with pytest.raises(ChannelError):
            await client.order(OrderKind.HOLD, VERSION, HOLD_STEP)

    run_before_engine(scenario)


def test_late_state_of_an_engine_is_no_answer() -> None:
    """Guards against a refusal of a version to which the engine has switched."""

    async def scenario(engine: RepeatingTarget, client: EngineClient) -> None:
        engine.late.append(build_json_answer(EngineState(step=20, version=5)))
        await client.state()
        with pytest.raises(ChannelError):
            await client.state()
        assert (await client.state()).step == 30

    run_before_engine(scenario)


def test_engine_that_goes_back_is_believed_at_the_second_answer() -> None:
    """Guards against an engine that is never heard again after its restart."""

    async def scenario(engine: RepeatingTarget, client: EngineClient) -> None:
        await client.state()
        restarted = EngineState(step=0, version=0)
        engine.answer = lambda asked: build_json_answer(restarted)
        with pytest.raises(ChannelError):
            await client.state()
        assert await client.state() == restarted

    run_before_engine(scenario)
