"""Bytes held for slow callers and targets are bounded and always released."""

import re
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import pytest
from direct_builders import build_config, run_in_direct_world
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from briarthread_common.core.exceptions import ChecksFailed
from briarthread_common.http.app import App, ResponseAborted, Route
from briarthread_common.http.call import REPLY_TIMEOUT_SECONDS, Call
from briarthread_common.http.channel import ChannelRequest
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.direct.memory.held_bytes import MAX_WAIT_SECONDS, hold_bytes
from briarthread_entry.direct.memory.memory_limits import (
    SMALL_REQUEST_BYTES,
    MemoryLimits,
)
from briarthread_entry.direct.memory.memory_rule import Granted, decide_memory
from briarthread_entry.direct.settings import load_direct_settings
from briarthread_standins.direct_worker import STAMP_HEADER, WorkerFault
from briarthread_standins.direct_world import DirectResponse, DirectWorld
from briarthread_standins.fake_call import FakeCall

MEMORY_MB = 1.0
"""Memory of the instance; small, so that a test's bodies fill the budget."""
LIMITS = MemoryLimits.of_memory(MEMORY_MB)
LARGE = b"x" * 100_000
"""Body of a large request; three of them fit into the budget."""
SMALL = b"x" * 1000
SIZE = {"x-token-count": "100,30"}
TEMPLATE = Path(__file__).parents[2] / "deploy" / "entry.ini"
TEMPLATE_VALUES = {
    "nodeName": "entry-1",
    "zone": "palermo",
    "listen.control": "10.1.0.1:9",
    "listen.front": "10.1.0.1:8",
    "listen.ready": "10.1.0.1:7",
    "platform.address": "10.200.0.1:80",
    "bounds.retryRatio": "0.2",
    "bounds.retrySlack": "20",
    "bounds.retryWindowS": "10",
    "limits.maxFds": "4100",
    "seeds": "",
}
Scenario = Callable[[DirectWorld], Awaitable[None]]


def run_bounded(
    scenario: Scenario, memory_mb: float = MEMORY_MB, diaries: int = 3
) -> None:
    """Run a scenario with an entry whose memory is bounded."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 200_000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 3000,
    }
    run_in_direct_world(
        scenario,
        config=build_config(limits=limits),
        memory_mb=memory_mb,
        diaries=diaries,
    )


def replace_workers(world: DirectWorld, app: Any) -> None:
    """Serve an application at the addresses of all workers."""
    for address in world.addresses.values():
        world.network.listen(address, "palermo", app)


def large_response_app(size: int, stated: bool, delay: float = 0.0) -> App:
    """Return a target with responses of one size, in chunks if it is not stated."""

    async def respond(call: Call) -> None:
        common = [STAMP_HEADER, ("x-request-id", call.headers["x-request-id"])]
        await call.read_body(10**6)
        await anyio.sleep(delay)
        if stated:
            await call.reply(200, b"y" * size, common)
            return
        await call.start(200, common)
        for _ in range(size // 10_000):
            await call.send_chunk(b"y" * 10_000)
        await call.finish()

    return App([Route("*", "/", respond)])


async def never_read(scope: Any, receive: Any, send: Any) -> None:
    """Serve a target that accepts connections and reads nothing."""
    await anyio.sleep_forever()


class StalledCaller:
    """A caller that accepts ``parts`` messages of its response and then no more."""

    def __init__(self, path: str, parts: int, body: bytes = b"x") -> None:
        headers = {
            "host": "salon.example",
            "x-request-id": f"stalled{path}",
            "x-credential": "key-1",
            "x-deadline-ms": "3000",
            "content-length": str(len(body)),
            **SIZE,
        }
        request = ChannelRequest("POST", "", path, tuple(headers.items()), body)
        self.call = FakeCall(request)
        self.parts = parts
        self.resumed = anyio.Event()
        self.received = b""
        self.aborted = False

    async def send(self, message: dict[str, Any]) -> None:
        """Accept a message, or block as uvicorn does for an unread connection."""
        if self.parts == 0:
            await self.resumed.wait()
        else:
            self.parts -= 1
        self.received += message.get("body", b"")

    async def run(self, entry: DirectEntry) -> None:
        """Send the request and wait until the entry has finished with it."""
        try:
            await entry.app(self.call.scope, self.call.receive, self.send)
        except ResponseAborted:
            self.aborted = True


async def call_many(
    world: DirectWorld, count: int, path: str, body: bytes
) -> list[DirectResponse]:
    replies: list[DirectResponse] = []

    async def call() -> None:
        replies.append(await world.call("entry-1", path, body=body))

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(call)
    return replies


def decisions(entry: DirectEntry, decision: str) -> float:
    return entry.metrics.memory_decisions.labels(decision)._value.get()


def check_released(entry: DirectEntry) -> None:
    assert entry.memory.held == 0
    assert entry.memory.waiters == []
    assert b"briarthread_held_bytes 0.0" in entry.metrics.render()


def test_many_large_bodies_at_once_are_refused_beyond_the_budget() -> None:
    """Guards against holding the bodies of a burst without any bound on their sum."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        for worker in world.workers.values():
            worker.delay = 1.0
        replies = await call_many(world, 12, "/book/1", LARGE)
        assert sorted(reply.status for reply in replies) == [200] * 3 + [503] * 9
        refused = [reply for reply in replies if reply.status == 503]
        for reply in refused:
            assert reply.headers["briarthread-outcome"] == "not-run"
            assert b"overloaded" in reply.body
            assert 0.3 <= float(reply.headers["retry-after"]) <= 8 / 3
        assert sum(worker.runs.total() for worker in world.workers.values()) == 3
        assert decisions(entry, "body-refused") == 9
        check_released(entry)
        await anyio.sleep(float(refused[0].headers["retry-after"]))
        assert (await world.call("entry-1", "/book/1", body=LARGE)).status == 200

    run_bounded(scenario)


def test_retry_after_follows_the_rate_of_release() -> None:
    """Guards against a Retry-After before which the budget is still full."""

    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.delay = 2.0
        await call_many(world, 1, "/book/1", LARGE)
        replies = await call_many(world, 4, "/book/1", LARGE)
        refused = [reply for reply in replies if reply.status == 503]
        assert len(refused) == 1
        shortfall = 4 * len(LARGE) - LIMITS.large
        expected = 4.0 * shortfall / len(LARGE)
        assert float(refused[0].headers["retry-after"]) >= expected

    run_bounded(scenario)


def test_small_request_is_served_beside_large_ones() -> None:
    """Guards against large bodies that take the memory of all other requests."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        for worker in world.workers.values():
            worker.delay = 1.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_many, world, 12, "/book/1", LARGE)
            tasks.start_soon(call_many, world, 1, "/book/1", b"x" * 70_000)
            await anyio.sleep(0.5)
            assert LIMITS.large * 0.9 < entry.memory.held <= LIMITS.total
            small = await call_many(world, 20, "/book/1", SMALL)
        assert [reply.status for reply in small] == [200] * 20

    run_bounded(scenario)


def test_body_that_never_fits_is_refused_for_good() -> None:
    """Guards against a Retry-After for a request that can never be accepted."""

    async def scenario(world: DirectWorld) -> None:
        body = b"x" * (LIMITS.request + 1)
        reply = await world.call("entry-1", "/book/1", body=body)
        assert reply.status == 413
        assert "retry-after" not in reply.headers
        assert decisions(world.entries["entry-1"], "body-too-large") == 1
        check_released(world.entries["entry-1"])

    run_bounded(scenario)


@pytest.mark.parametrize(
    ("part", "parts", "blocked", "status"),
    [(10_000, 5, 0, 200), (10_000, 8, 350_000, 503), (60_000, 3, 0, 413)],
)
def test_chunked_body_is_counted_as_it_is_read(
    part: int, parts: int, blocked: int, status: int
) -> None:
    """Guards against bodies of unknown length that escape the budget."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        caller = StalledCaller("/book/1", parts=10)
        fields = caller.call.scope["headers"]
        fields[:] = [pair for pair in fields if pair[0] != b"content-length"]
        fields.append((b"transfer-encoding", b"chunked"))
        statuses: list[int] = []
        left = list(range(parts))

        async def receive() -> dict[str, Any]:
            if left:
                left.pop()
                more = bool(left)
                return {"type": "http.request", "body": b"x" * part, "more_body": more}
            return await anyio.sleep_forever()

        async def send(message: dict[str, Any]) -> None:
            statuses.append(message.get("status", 0))

        with hold_bytes(entry.memory) as other:
            entry.memory.grant(other, blocked)
            with anyio.move_on_after(5):
                await entry.app(caller.call.scope, receive, send)
            assert statuses[0] == status
            assert entry.memory.held == blocked
        check_released(entry)

    run_bounded(scenario)


@pytest.mark.parametrize("stated", [True, False])
def test_response_waits_for_memory_and_is_then_delivered(stated: bool) -> None:
    """Guards against responses that are buffered although the budget is full."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        replace_workers(world, large_response_app(100_000, stated))
        with hold_bytes(entry.memory) as other:
            entry.memory.grant(other, LIMITS.large - 50_000)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(release_later, entry, other.release)
                started = anyio.current_time()
                reply = await world.call("entry-1", "/list/1", body=None)
        assert (reply.status, len(reply.body)) == (200, 100_000)
        assert 1.0 <= anyio.current_time() - started < 1.2
        assert decisions(entry, "response-waited") == 1
        check_released(entry)

    async def release_later(entry: DirectEntry, release: Callable[[], None]) -> None:
        await anyio.sleep(1.0)
        assert entry.memory.held <= LIMITS.total
        release()

    run_bounded(scenario)


@pytest.mark.parametrize("stated", [True, False])
def test_response_that_waits_too_long_fails_with_an_unknown_outcome(
    stated: bool,
) -> None:
    """Guards against a request that ran, is dropped for memory and says "not run"."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        replace_workers(world, large_response_app(100_000, stated))
        with hold_bytes(entry.memory) as other:
            entry.memory.grant(other, LIMITS.large - 50_000)
            started = anyio.current_time()
            reply = await world.call("entry-1", "/list/1", body=None)
            seconds = anyio.current_time() - started
        assert (reply.status, reply.headers["briarthread-outcome"]) == (504, "unknown")
        assert MAX_WAIT_SECONDS <= seconds < MAX_WAIT_SECONDS + 0.2
        assert decisions(entry, "response-dropped") == 1
        states = entry.registry.states.values()
        assert [state.running for state in states] == [0] * len(states)
        assert not any(state.ejected_until for state in states)
        check_released(entry)

    run_bounded(scenario)


def test_responses_wait_in_order_and_before_new_bodies() -> None:
    """Guards against new bodies that take the memory for which responses wait."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        replace_workers(world, large_response_app(100_000, stated=True))
        with hold_bytes(entry.memory) as other:
            entry.memory.grant(other, LIMITS.large - 90_000)
            replies: list[DirectResponse] = []

            async def ask() -> None:
                replies.append(await world.call("entry-1", "/list/1", body=None))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.5)
                new = await world.call("entry-1", "/book/1", body=b"x" * 70_000)
                assert new.status == 503
                other.release()
            assert replies[0].status == 200

    run_bounded(scenario)


def test_response_larger_than_a_request_may_hold_fails_at_once() -> None:
    """Guards against one response that takes the memory of the others."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        replace_workers(world, large_response_app(LIMITS.request + 10_000, False))
        reply = await world.call("entry-1", "/list/1", body=None)
        assert (reply.status, reply.headers["briarthread-outcome"]) == (504, "unknown")
        assert decisions(entry, "response-too-large") == 1
        check_released(entry)

    run_bounded(scenario)


def test_caller_that_never_reads_its_response_is_dropped() -> None:
    """Guards against a response that stays in the server's write buffer."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        replace_workers(world, large_response_app(100_000, stated=True))
        caller = StalledCaller("/list/1", parts=2)
        started = anyio.current_time()
        await caller.run(entry)
        seconds = anyio.current_time() - started
        assert len(caller.received) < 100_000
        assert REPLY_TIMEOUT_SECONDS <= seconds < REPLY_TIMEOUT_SECONDS + 0.5
        assert decisions(entry, "response-unread") == 1
        assert entry.events.events_for("stalled/list/1")[-1].decision == (
            "response-unread"
        )
        check_released(entry)

    run_bounded(scenario)


def test_caller_that_pauses_while_reading_gets_its_whole_response() -> None:
    """Guards against dropping callers that read slowly but steadily."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        replace_workers(world, large_response_app(100_000, stated=True))
        caller = StalledCaller("/list/1", parts=2)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caller.run, entry)
            await anyio.sleep(REPLY_TIMEOUT_SECONDS - 1)
            caller.resumed.set()
        assert caller.received == b"y" * 100_000
        assert decisions(entry, "response-unread") == 0
        check_released(entry)

    run_bounded(scenario)


def test_target_of_a_caller_that_stops_reading_is_released_at_the_deadline() -> None:
    """Guards against a stream that holds a slot of its target for an absent reader."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        caller = StalledCaller("/chat/1", parts=3)
        started = anyio.current_time()
        await caller.run(entry)
        assert caller.aborted
        assert 3.0 <= anyio.current_time() - started < 3.2
        await anyio.sleep(0.1)
        assert sum(worker.in_progress for worker in world.workers.values()) == 0
        states = entry.registry.states.values()
        assert [state.running for state in states] == [0] * len(states)
        check_released(entry)

    run_bounded(scenario)


def test_target_that_never_reads_a_body_releases_it_at_the_deadline() -> None:
    """Guards against bodies that are held for a target after their caller gave up."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        replace_workers(world, never_read)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_many, world, 3, "/book/1", LARGE)
            await anyio.sleep(1)
            assert entry.memory.held == 3 * len(LARGE)
            assert (await world.call("entry-1", "/book/1", body=LARGE)).status == 503
            await anyio.sleep(3.1)
            check_released(entry)

    run_bounded(scenario)


def test_endless_event_of_a_stream_is_bounded() -> None:
    """Guards against a target whose event never ends and grows in the entry."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        sent = 0

        async def stream(call: Call) -> None:
            nonlocal sent
            await call.start(
                200, [STAMP_HEADER, ("x-request-id", call.headers["x-request-id"])]
            )
            while sent < 5_000_000:
                await call.send_chunk(b"z" * 10_000)
                sent += 10_000
                await anyio.sleep(0.01)

        replace_workers(world, App([Route("*", "/", stream)]))
        reply = await world.call("entry-1", "/chat/1", SIZE)
        assert reply.status == 504
        assert sent < LIMITS.request + SMALL_REQUEST_BYTES + 50_000
        check_released(entry)

    run_bounded(scenario)


async def _served(world: DirectWorld) -> None:
    assert (await world.call("entry-1", "/book/1", body=SMALL)).status == 200


async def _stream_served(world: DirectWorld) -> None:
    assert (await world.call("entry-1", "/chat/1", SIZE, body=SMALL)).status == 200


async def _caller_leaves(world: DirectWorld) -> None:
    for worker in world.workers.values():
        worker.delay = 1.0
    await world.call("entry-1", "/book/1", body=SMALL, client_timeout=0.2)


async def _unauthorized(world: DirectWorld) -> None:
    reply = await world.call("entry-1", "/book/1", {"x-credential": "none"}, body=SMALL)
    assert reply.status == 401


async def _bad_deadline(world: DirectWorld) -> None:
    reply = await world.call(
        "entry-1", "/book/1", {"x-deadline-ms": "soon"}, body=SMALL
    )
    assert reply.status == 400


async def _body_never_comes(world: DirectWorld) -> None:
    caller = StalledCaller("/book/1", parts=10, body=SMALL)
    app = world.entries["entry-1"].app
    await app(caller.call.scope, anyio.sleep_forever, caller.send)
    assert b"body-too-slow" in caller.received


async def _caller_leaves_in_its_body(world: DirectWorld) -> None:
    caller = StalledCaller("/book/1", parts=10, body=SMALL)

    async def receive() -> dict[str, Any]:
        return {"type": "http.disconnect"}

    await world.entries["entry-1"].app(caller.call.scope, receive, caller.send)
    assert caller.received == b""


async def _handler_is_cancelled(world: DirectWorld) -> None:
    for worker in world.workers.values():
        worker.faults = [WorkerFault.NO_RESPONSE]
    caller = StalledCaller("/book/1", parts=10, body=SMALL)
    with anyio.move_on_after(0.5):
        await caller.run(world.entries["entry-1"])


@pytest.mark.parametrize(
    "end",
    [
        _served,
        _stream_served,
        _caller_leaves,
        _unauthorized,
        _bad_deadline,
        _body_never_comes,
        _caller_leaves_in_its_body,
        _handler_is_cancelled,
    ],
)
def test_bytes_are_released_however_a_request_ends(end: Scenario) -> None:
    """Guards against a leak that fills the budget until all bodies are refused."""

    async def scenario(world: DirectWorld) -> None:
        reserved: list[int] = []
        entry = world.entries["entry-1"]
        grant = entry.memory.grant
        entry.memory.grant = lambda held, size: (
            reserved.append(size),
            grant(held, size),
        )
        await end(world)
        await anyio.sleep(0.1)
        if end is not _unauthorized:
            assert sum(reserved) >= len(SMALL)
        check_released(entry)

    run_bounded(scenario)


@pytest.mark.parametrize("fault", list(WorkerFault))
@pytest.mark.parametrize("path", ["/book/1", "/list/1", "/chat/1"])
def test_bytes_are_released_after_each_failure_of_a_target(
    path: str, fault: WorkerFault
) -> None:
    """Guards against a leak in the handling of a failed attempt or of its retry."""

    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [fault] * 3
        await world.call("entry-1", path, SIZE, body=SMALL)
        await anyio.sleep(0.1)
        check_released(world.entries["entry-1"])

    run_bounded(scenario)


def test_log_has_one_line_per_change_of_the_budget() -> None:
    """Guards against a log line for each refused request."""

    async def scenario(world: DirectWorld) -> None:
        lines: list[str] = []
        sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
        for worker in world.workers.values():
            worker.delay = 1.0
        try:
            await call_many(world, 30, "/book/1", LARGE)
            await anyio.sleep(1)
            await world.call("entry-1", "/book/1", body=SMALL)
        finally:
            logger.remove(sink)
        changes = [line for line in lines if line.startswith("memory: ")]
        assert [line.split(",")[0] for line in changes] == [
            "memory: full",
            "memory: free again",
        ]

    run_bounded(scenario)


def test_without_the_setting_nothing_is_counted_or_refused() -> None:
    """Guards against a bound in deployments that did not ask for one."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        replace_workers(world, large_response_app(200_000, True, delay=0.5))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_many, world, 12, "/book/1", LARGE)
            await anyio.sleep(0.3)
            assert entry.memory.held == 0
        replies = await call_many(world, 12, "/book/1", LARGE)
        assert [len(reply.body) for reply in replies] == [200_000] * 12

    run_bounded(scenario, memory_mb=0.0)


@given(
    sizes=st.lists(st.integers(1, 200_000), max_size=60),
    small=st.integers(1, 1000),
)
def test_granted_bytes_never_exceed_the_budget(sizes: list[int], small: int) -> None:
    """Guards against large requests that use up the reserve of small ones."""
    held = 0
    for size in sizes:
        if isinstance(decide_memory(LIMITS, held, SMALL_REQUEST_BYTES, size), Granted):
            held += size
    assert held <= LIMITS.large
    assert isinstance(decide_memory(LIMITS, held, 0, small), Granted)


@pytest.mark.parametrize(("raw", "expected"), [("", 0.0), ("0", 0.0), ("200", 200.0)])
def test_settings_template_accepts_an_absent_memory(
    raw: str, expected: float, tmp_path: Path
) -> None:
    """Guards against an entry that does not start where no memory limit is stated."""
    path = tmp_path / "entry.ini"
    path.write_text(fill_template({**TEMPLATE_VALUES, "limits.memoryMb": raw}))
    assert load_direct_settings(path).memory_mb == expected


@pytest.mark.parametrize("raw", ["-1", "inf", "nan", "much"])
def test_invalid_memory_is_a_fault_of_the_settings(raw: str, tmp_path: Path) -> None:
    """Guards against an unusable bound that is noticed only under load."""
    path = tmp_path / "entry.ini"
    path.write_text(fill_template({**TEMPLATE_VALUES, "limits.memoryMb": raw}))
    with pytest.raises(ChecksFailed, match="memory_mb"):
        load_direct_settings(path)


def fill_template(values: dict[str, str]) -> str:
    template = TEMPLATE.read_text(encoding="utf-8")
    return re.sub(r"\{\{(.*?)\}\}", lambda match: values[match[1]], template)
