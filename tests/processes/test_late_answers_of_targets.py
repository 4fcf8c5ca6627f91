"""Answers that a target sends again, late, from real sockets to an agent."""

from collections.abc import Awaitable, Callable

import anyio
import pytest
from builders import build_attempt

from briarthread_agent.attempts.response_buffer import ResponseBuffer
from briarthread_agent.attempts.target_client import (
    ATTEMPT_ID_HEADER,
    TargetClient,
)
from briarthread_agent.limits.target_backoff import TargetBackoff
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.metrics import Metrics
from briarthread_common.core.outcome import Outcome
from briarthread_common.http.http_channel import HttpChannel
from processes.repeating_target import Asked, RepeatingTarget, build_answer

ANSWER_BYTES = 100_000
Run = Callable[[str, bool], Awaitable[ResponseBuffer]]
Scenario = Callable[[RepeatingTarget, Run], Awaitable[None]]


def answer_path(asked: Asked) -> bytes:
    """Return the answer of a target that echoes no id."""
    return build_answer(asked.path.encode())


def answer_path_and_id(asked: Asked) -> bytes:
    """Return the answer of a target that echoes the id of the request."""
    echo = {ATTEMPT_ID_HEADER: asked.headers.get(ATTEMPT_ID_HEADER, "")}
    return build_answer(asked.path.encode(), echo)


def run_before_target(answer: Callable[[Asked], bytes], scenario: Scenario) -> None:
    """Play a scenario at an agent's client of a target."""

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            target = RepeatingTarget(answer)
            channel = HttpChannel()
            address = await target.start(tasks)
            client = TargetClient(
                channel, address, TargetBackoff(Metrics()), lambda: None
            )

            async def run(path: str, idempotent: bool) -> ResponseBuffer:
                buffer = ResponseBuffer(ANSWER_BYTES)
                attempt = build_attempt(path=path, id=path, idempotent=idempotent)
                with anyio.fail_after(5):
                    await client.run(attempt, (), b"x", buffer)
                return buffer

            await scenario(target, run)
            await channel.close()
            tasks.cancel_scope.cancel()

    anyio.run(play)


@pytest.mark.parametrize("earlier_status", [200, 404])
def test_late_answer_with_the_id_of_another_attempt_is_no_answer(
    earlier_status: int,
) -> None:
    """Guards against a caller that gets another caller's answer."""

    async def scenario(target: RepeatingTarget, run: Run) -> None:
        echo = {ATTEMPT_ID_HEADER: "/first"}
        target.late.append(build_answer(b"/first", echo, earlier_status))
        first = await run("/first", True)
        second = await run("/second", True)
        assert first.chunks == [b"/first"]
        assert target.connections == 1
        assert not second.finished
        assert not second.chunks
        assert second.error is not None
        assert second.error.kind is ErrorKind.TARGET_FAILED
        assert second.error.outcome is Outcome.UNKNOWN

    run_before_target(answer_path_and_id, scenario)


def test_request_that_may_run_once_gets_its_own_answer_without_an_id() -> None:
    """Guards against an answer of another request that is kept under a key."""

    async def scenario(target: RepeatingTarget, run: Run) -> None:
        target.late.append(build_answer(b"/first"))
        await run("/first", True)
        second = await run("/second", False)
        assert second.finished
        assert second.chunks == [b"/second"]

    run_before_target(answer_path, scenario)


def test_late_answer_of_another_kind_is_no_answer_where_ids_are_returned() -> None:
    """Guards against a caller that gets an engine's answer to its agent."""

    async def scenario(target: RepeatingTarget, run: Run) -> None:
        target.late.append(build_answer(b'{"step": 1}'))
        first = await run("/first", True)
        second = await run("/second", False)
        third = await run("/third", False)
        assert first.finished
        assert not second.finished
        assert not second.chunks
        assert third.chunks == [b"/third"]

    run_before_target(answer_path_and_id, scenario)


def test_target_that_no_longer_returns_ids_is_served() -> None:
    """Guards against a target that is refused after a change of its version."""

    async def scenario(target: RepeatingTarget, run: Run) -> None:
        assert (await run("/first", True)).finished
        target.answer = answer_path
        await run("/second", True)
        assert (await run("/third", True)).chunks == [b"/third"]

    run_before_target(answer_path_and_id, scenario)


@pytest.mark.parametrize(
    ("answer", "idempotent", "connections"),
    [
        (answer_path, True, 1),
        (answer_path, False, 20),
        (answer_path_and_id, True, 1),
        (answer_path_and_id, False, 2),
    ],
)
def test_only_what_may_run_once_without_a_proof_costs_connections(
    answer: Callable[[Asked], bytes], idempotent: bool, connections: int
) -> None:
    """Guards against a handshake for each request."""

    async def scenario(target: RepeatingTarget, run: Run) -> None:
        for number in range(20):
            buffer = await run(f"/{number}", idempotent)
            assert buffer.chunks == [f"/{number}".encode()]
        assert target.connections == connections

    run_before_target(answer, scenario)
