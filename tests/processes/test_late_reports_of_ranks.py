"""Reports that a rank's engine sends again, late, from real sockets to its agent."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from briarthread_agent.ranks.pass_id import PassId
from briarthread_agent.ranks.rank_controller import RankController
from briarthread_common.core.exceptions import RankError
from briarthread_common.http.http_channel import HttpChannel
from briarthread_common.messages.rank_messages import AcceptRequest
from briarthread_platform.rank_engine import RankEngine
from processes.repeating_target import Asked, RepeatingTarget, build_json_answer

EXPERTS = [[0, 5]]
Scenario = Callable[[RepeatingTarget, RankEngine], Awaitable[None]]


def build_report(
    step: int, group: str = "g", epoch: int = 2, **changes: object
) -> dict[str, Any]:
    """Return a rank's report; keyword arguments replace its fields."""
    membership = {"name": group, "epoch": epoch, "rank": 0, "state": "open"}
    return {"group": membership, "size": 4, "step": step, "map": 3, **changes}


def answer_at_step_90(asked: Asked) -> bytes:
    """Answer like a rank at pass 90 of epoch 2, with map 3."""
    if asked.path == "/api/report":
        return build_json_answer(build_report(90))
    if "lists" in asked.path:
        return build_json_answer({"map": {"version": 3, "experts": EXPERTS}})
    return build_json_answer({"step": 90, "epoch": 2, "counts": [60, 60]})


def run_before_rank(
    scenario: Scenario, answer: Callable[[Asked], bytes] = answer_at_step_90
) -> None:
    """Play a scenario at an agent's client of its rank's engine."""

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            target = RepeatingTarget(answer)
            channel = HttpChannel()
            engine = RankEngine(channel, await target.start(tasks))
            with anyio.fail_after(5):
                await scenario(target, engine)
            await channel.close()
            tasks.cancel_scope.cancel()

    anyio.run(play)


@pytest.mark.parametrize(
    "late",
    [
        build_report(89, held=90),
        build_report(800, epoch=1, armed={"version": 2, "step": 801}),
    ],
)
def test_late_report_of_a_rank_is_no_answer(late: dict[str, Any]) -> None:
    """Guards against a hold or a switch that the rank had before."""

    async def scenario(target: RepeatingTarget, engine: RankEngine) -> None:
        target.late.append(build_json_answer(late))
        await engine.state()
        with pytest.raises(RankError):
            await engine.state()
        assert (await engine.state()).step == 90

    run_before_rank(scenario)


def test_late_counts_of_a_rank_are_no_restart() -> None:
    """Guards against all choices since a rank's start that count as recent."""

    async def scenario(target: RepeatingTarget, engine: RankEngine) -> None:
        late = {"step": 80, "epoch": 2, "counts": [50, 50]}
        target.late.append(build_json_answer(late))
        await engine.counts()
        with pytest.raises(RankError):
            await engine.counts()
        assert await engine.counts() == [60, 60]

    run_before_rank(scenario)


def test_reports_of_the_same_pass_and_of_a_new_epoch_are_taken() -> None:
    """Guards against an idle group, or one that was formed again, without a state."""

    async def scenario(target: RepeatingTarget, engine: RankEngine) -> None:
        assert (await engine.state()).step == 90
        assert (await engine.state()).step == 90
        target.answer = lambda asked: build_json_answer(build_report(0, epoch=3))
        assert (await engine.state()).epoch == 3
        target.answer = lambda asked: build_json_answer(build_report(0, "h", epoch=1))
        assert (await engine.state()).group == "h"

    run_before_rank(scenario)


@pytest.mark.parametrize("version", [2, 4])
def test_experts_of_another_map_are_no_answer(version: int) -> None:
    """Guards against ranks with one version of a map that differs in content."""

    async def scenario(target: RepeatingTarget, engine: RankEngine) -> None:
        lists = {"map": {"version": version, "experts": [[0, 1]]}}
        target.late.append(build_json_answer(lists))
        assert await engine.experts(3) == EXPERTS
        with pytest.raises(RankError):
            await engine.experts(3)

    run_before_rank(scenario)


def test_late_report_of_the_group_before_does_not_undo_a_promise() -> None:
    """Guards against a pass that is released while ranks are armed for it."""

    async def scenario(target: RepeatingTarget, engine: RankEngine) -> None:
        controller = RankController(engine)
        target.answer = lambda asked: build_json_answer(build_report(90, "g", held=95))
        await controller.own_state()
        promise = AcceptRequest(1, epoch=2, step=95, group="g")
        assert (await controller.accept(promise)).taken
        target.late.append(build_json_answer(build_report(500, "before")))
        state = await controller.own_state()
        assert state is not None
        assert state.group == "g"
        assert controller.promised_pass == PassId(2, 95)

    run_before_rank(scenario)


def test_rank_that_joins_a_group_is_asked_twice_and_once_by_a_new_connection() -> None:
    """Guards against a rank that never joins, and against a handshake a poll."""

    async def scenario(target: RepeatingTarget, engine: RankEngine) -> None:
        controller = RankController(engine)
        target.answer = lambda asked: build_json_answer(build_report(90, "g"))
        await controller.own_state()
        target.answer = lambda asked: build_json_answer(build_report(2, "h"))
        for _ in range(10):
            await controller.own_state()
        assert controller.group == "h"
        assert target.connections == 2

    run_before_rank(scenario)
