"""
A refusal of a target that does not say that it ran nothing, however it is framed.

A caller takes 408, 429 and 503 for a promise that a request was not run.
"""

from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import httpcore
import pytest
from builders import build_text

from briarthread_standins.direct_config import DIARY
from processes.raw_deployment import Reply, run_before_agents, run_before_targets, send
from processes.refusing_target import (
    BODY,
    CUT_FRAMINGS,
    WHOLE_FRAMINGS,
    Framing,
    RefusingTarget,
)

STATUSES = [408, 429, 503]
START_SECONDS = 20.0
SERVED_IN_A_ROW = 20
"""Requests that show that all of a service's shares have a holder."""
SAFE, UNSAFE = "cards", "diary"
"""Services behind agents: one whose requests may run again, one whose may not."""


class Calls:
    """Send requests that all differ, so that none counts as a repeated one."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, address: str) -> None:
        self.pool = pool
        self.address = address
        self.count = 0

    async def direct(self, method: str, path: str) -> Reply:
        """Send a request to an entry before targets without agents."""
        self.count += 1
        fields = {
            "host": "salon.example",
            "x-request-id": f"request-{self.count}",
            "x-credential": "key-1",
            "x-deadline-ms": "6000",
        }
        content = b"%d" % self.count if method == "POST" else None
        url = f"http://{self.address}{path}{self.count}"
        return await send(self.pool, url, method, fields, content)

    async def through_agent(
        self, service: str, target: RefusingTarget, key: str = ""
    ) -> Reply:
        """
        Send a request to an entry before targets with agents.

        A success follows, so that the entry does not eject its only target.
        """
        reply = await self._send_to_agent(service, key)
        with target.succeeding():
            assert (await self._send_to_agent(service, key)).status == 200
        return reply

    async def wait_until_served(
        self, service: str, target: RefusingTarget, key: str = ""
    ) -> None:
        """Wait until an entry knows the target, and the holder of each key."""
        served = 0
        with target.succeeding(), anyio.fail_after(START_SECONDS):
            while served < SERVED_IN_A_ROW:
                reply = await self._send_to_agent(service, key)
                served = served + 1 if reply.status == 200 else 0
                await anyio.sleep(0.05)

    async def _send_to_agent(self, service: str, key: str) -> Reply:
        self.count += 1
        fields = {"host": "a", "authorization": "Bearer salon-0"}
        if key:
            fields["idempotency-key"] = f"{key}-{self.count}"
        url = f"http://{self.address}/v1/services/{service}/x"
        return await send(self.pool, url, "POST", fields, b"%d" % self.count)


def check_unknown(reply: Reply) -> None:
    assert reply.whole
    assert reply.status == 502
    assert reply.headers["briarthread-outcome"] == "unknown"
    assert BODY[:5] not in reply.body


def check_passed_on(reply: Reply, status: int) -> None:
    assert reply.whole
    assert (reply.status, reply.body) == (status, BODY)


def run_direct(
    folder: Path, scenario: Callable[[Calls, RefusingTarget], Awaitable[None]]
) -> None:
    target = RefusingTarget()

    async def play(address: str) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            await scenario(Calls(pool, address), target)

    run_before_targets(folder, {f"{DIARY}-0": target}, play)


@pytest.mark.parametrize("stamped", [False, True])
def test_direct_unsafe_request_has_an_unknown_outcome(
    tmp_path: Path, stamped: bool
) -> None:
    """Guards against callers who book once more since a target failed after its run."""

    async def scenario(calls: Calls, target: RefusingTarget) -> None:
        target.stamped = stamped
        for target.status in STATUSES:
            for target.framing in Framing:
                runs = target.failed_runs
                check_unknown(await calls.direct("POST", "/book/"))
                assert target.failed_runs == runs + 1, (target.status, target.framing)

    run_direct(tmp_path, scenario)


@pytest.mark.parametrize("stamped", [False, True])
def test_direct_safe_request_gets_the_targets_answer_if_it_is_whole(
    tmp_path: Path, stamped: bool
) -> None:
    async def scenario(calls: Calls, target: RefusingTarget) -> None:
        target.stamped = stamped
        for target.status in STATUSES:
            for target.framing in WHOLE_FRAMINGS:
                reply = await calls.direct("GET", "/list/")
                check_passed_on(reply, target.status)
            for target.framing in CUT_FRAMINGS:
                check_unknown(await calls.direct("GET", "/list/"))

    run_direct(tmp_path, scenario)


def run_agents(
    folder: Path,
    scenario: Callable[[Calls, dict[str, RefusingTarget]], Awaitable[None]],
) -> None:
    targets = {SAFE: RefusingTarget(), UNSAFE: RefusingTarget()}

    async def play(address: str) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            await scenario(Calls(pool, address), targets)

    run_before_agents(folder, build_text(("palermo",)), targets, play)


@pytest.mark.parametrize("key", ["", "booking"])
def test_unsafe_request_through_an_agent_has_an_unknown_outcome(
    tmp_path: Path, key: str
) -> None:
    """Guards against callers who book once more since a target failed after its run."""

    async def scenario(calls: Calls, targets: dict[str, RefusingTarget]) -> None:
        target = targets[UNSAFE]
        await calls.wait_until_served(UNSAFE, target, key)
        for target.status in STATUSES:
            for target.framing in Framing:
                runs = target.failed_runs
                check_unknown(await calls.through_agent(UNSAFE, target, key))
                assert target.failed_runs == runs + 1, (target.status, target.framing)

    run_agents(tmp_path, scenario)


def test_safe_request_through_an_agent_gets_the_targets_answer_if_it_is_whole(
    tmp_path: Path,
) -> None:
    async def scenario(calls: Calls, targets: dict[str, RefusingTarget]) -> None:
        target = targets[SAFE]
        await calls.wait_until_served(SAFE, target)
        for target.status in STATUSES:
            for target.framing in WHOLE_FRAMINGS:
                reply = await calls.through_agent(SAFE, target)
                check_passed_on(reply, target.status)
            for target.framing in CUT_FRAMINGS:
                check_unknown(await calls.through_agent(SAFE, target))

    run_agents(tmp_path, scenario)
