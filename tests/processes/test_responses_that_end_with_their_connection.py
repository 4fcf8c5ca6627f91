"""Responses with neither a length nor chunks, from real sockets to a real entry."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import httpcore
import pytest

from briarthread_standins.direct_config import DIARY, MODEL
from processes.raw_deployment import run_before_targets, send
from processes.raw_target import EVENT_COUNT, PLAIN_BODY, RawTarget, ResponseEnd

TARGETS = {MODEL: 2, DIARY: 2}


@dataclass(slots=True)
class Caller:
    """Call an entry in front of raw targets whose next responses end as ``ends``."""

    address: str
    targets: dict[str, RawTarget]
    ends: deque[ResponseEnd]
    count: int = 0

    async def call(
        self, method: str, path: str, **headers: str
    ) -> tuple[int, bytes, bool]:
        """Send a request; return status, body and whether the body was whole."""
        self.count += 1
        fields = {
            "host": "salon.example",
            "x-request-id": f"request-{self.count}",
            "x-credential": "key-1",
            "x-deadline-ms": "6000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        content = b"x" if method == "POST" else None
        url = f"http://{self.address}{path}"
        async with httpcore.AsyncConnectionPool() as pool:
            reply = await send(pool, url, method, fields, content)
        return reply.status, reply.body, reply.whole

    async def ask(self) -> tuple[int, list[int], bool]:
        """Send a request for a stream; return status, event ids and if it was whole."""
        status, body, whole = await self.call("POST", "/chat/1", x_token_count="9,9")
        lines = body.decode().split("\n")
        return status, [int(line[3:]) for line in lines if line[:3] == "id:"], whole


def run(folder: Path, scenario: Callable[[Caller], Awaitable[None]]) -> None:
    ends: deque[ResponseEnd] = deque()
    targets = {
        f"{service}-{number}": RawTarget(f"{service}-{number}", ends)
        for service, count in TARGETS.items()
        for number in range(count)
    }

    async def play(address: str) -> None:
        await scenario(Caller(address, targets, ends))

    run_before_targets(folder, targets, play)


ALL_EVENTS = list(range(1, EVENT_COUNT + 1))


def test_streams_that_end_with_their_connection_reach_the_caller_whole(
    tmp_path: Path,
) -> None:
    """Guards against taking a stream that was cut within an event for a whole one."""

    async def scenario(caller: Caller) -> None:
        assert await caller.ask() == (200, ALL_EVENTS, True)
        assert await caller.ask() == (200, ALL_EVENTS, True)
        answering = [t for t in caller.targets.values() if t.resumed_from]
        assert sum(target.connections for target in answering) == 2
        for end in (ResponseEnd.WITHIN_EVENT, ResponseEnd.RESET):
            caller.ends.append(end)
            assert await caller.ask() == (200, ALL_EVENTS, True), end
            resumed = [r for t in caller.targets.values() for r in t.resumed_from]
            assert 2 in resumed, end
            for target in caller.targets.values():
                target.resumed_from.clear()
        caller.ends.append(ResponseEnd.AFTER_HEAD)
        assert await caller.ask() == (200, ALL_EVENTS, True)
        caller.ends.extend([ResponseEnd.WITHIN_EVENT, ResponseEnd.WITHIN_EVENT])
        _, events, whole = await caller.ask()
        assert events == ALL_EVENTS[:4]
        assert not whole

    run(tmp_path, scenario)


@pytest.mark.parametrize("end", [ResponseEnd.WHOLE, ResponseEnd.RESET])
def test_plain_response_that_ends_with_its_connection(
    tmp_path: Path, end: ResponseEnd
) -> None:
    async def scenario(caller: Caller) -> None:
        caller.ends.append(end)
        status, body, whole = await caller.call("GET", "/list/1")
        assert (status, body, whole) == (200, PLAIN_BODY, True)
        connections = sum(target.connections for target in caller.targets.values())
        assert connections == (2 if end is ResponseEnd.RESET else 1)

    run(tmp_path, scenario)


def test_reset_response_of_a_request_that_may_run_once_is_no_success(
    tmp_path: Path,
) -> None:
    async def scenario(caller: Caller) -> None:
        caller.ends.append(ResponseEnd.RESET)
        status, body, _ = await caller.call("POST", "/book/1")
        assert status in (502, 504)
        assert PLAIN_BODY[:4] not in body

    run(tmp_path, scenario)
