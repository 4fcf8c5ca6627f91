"""A caller gets each event of its stream once and in order, or a broken response."""

import anyio
import pytest
from direct_builders import build_config, build_route_row, run_in_direct_world

from briarthread_standins.direct_worker import WorkerFault
from briarthread_standins.direct_world import DirectWorld

SIZE = {"x-token-count": "100,30"}
EVENT_IDS = [1, 2, 3, 4, 5, 6]
LEAVES_AFTER_SECONDS = 0.1


def test_stream_is_whole_and_complete() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.call("entry-1", "/chat/1", SIZE)
        assert (reply.status, reply.event_ids, reply.complete) == (
            200,
            EVENT_IDS,
            True,
        )
        assert reply.headers["x-server-stamp"] == "stamp"

    run_in_direct_world(scenario)


def test_interrupted_stream_continues_at_another_rank_in_the_same_response() -> None:
    async def scenario(world: DirectWorld) -> None:
        replies = []
        for _ in range(12):
            world.workers["rank-0"].faults = [WorkerFault.CUT_EVENT]
            replies.append(await world.call("entry-1", "/chat/1", SIZE))
        assert [reply.event_ids for reply in replies] == [EVENT_IDS] * 12
        assert all(reply.complete for reply in replies)
        resumed = [
            seen["last-event-id"]
            for worker in world.workers.values()
            for seen in worker.received_headers
            if "last-event-id" in seen
        ]
        assert resumed
        assert set(resumed) == {"2"}

    run_in_direct_world(scenario)


def test_stream_that_may_not_be_resumed_breaks_off() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [WorkerFault.CUT_EVENT]
        reply = await world.call("entry-1", "/chat/1", SIZE)
        assert (reply.event_ids, reply.complete) == ([1, 2], False)
        assert sum(worker.runs.total() for worker in world.workers.values()) == 1

    row = build_route_row("/chat/", "model", "stream", maxAttempts=2)
    run_in_direct_world(scenario, config=build_config(routes=[row]))


def test_caller_that_resumes_gets_only_what_it_lacks() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply = await world.call("entry-1", "/chat/1", {**SIZE, "last-event-id": "4"})
        assert (reply.event_ids, reply.complete) == ([5, 6], True)

    run_in_direct_world(scenario)


def test_broken_stream_never_looks_complete() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [WorkerFault.CUT_EVENT] * 9
        reply = await world.call("entry-1", "/chat/1", SIZE)
        assert not reply.complete
        assert reply.event_ids == [1, 2, 3, 4]

    run_in_direct_world(scenario)


def test_stream_refused_before_its_first_event_is_refused_to_the_caller() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [WorkerFault.GROUP_BROKEN]
        reply = await world.call("entry-1", "/chat/1", SIZE)
        assert reply.status == 503
        assert reply.headers["briarthread-outcome"] == "not-run"
        assert sum(worker.runs.total() for worker in world.workers.values()) == 0

    run_in_direct_world(scenario)


def test_broken_group_gets_one_probe_and_the_rest_is_refused_at_once() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [WorkerFault.GROUP_BROKEN] * 20
        started = anyio.current_time()
        replies = [await world.call("entry-1", "/chat/1", SIZE) for _ in range(10)]
        assert {reply.status for reply in replies} == {503}
        assert anyio.current_time() - started < 0.2
        assert (
            sum(len(worker.received_headers) for worker in world.workers.values()) == 1
        )
        later = float(replies[-1].headers["retry-after"])
        assert 8 / 3 * 0.75 < later <= 8 / 3

    run_in_direct_world(scenario)


def test_group_that_is_formed_again_is_detected_by_a_probe() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [WorkerFault.GROUP_BROKEN]
        assert (await world.call("entry-1", "/chat/1", SIZE)).status == 503
        for worker in world.workers.values():
            worker.faults = []
        await anyio.sleep(0.4)
        assert (await world.call("entry-1", "/chat/1", SIZE)).status == 200
        assert (await world.call("entry-1", "/chat/1", SIZE)).status == 200

    run_in_direct_world(scenario)


@pytest.mark.parametrize("leaves_after", [0.03, 0.15, 0.25])
def test_caller_that_disconnects_ends_the_work(leaves_after: float) -> None:
    async def scenario(world: DirectWorld) -> None:
        await world.call("entry-1", "/chat/1", SIZE, client_timeout=leaves_after)
        await anyio.sleep(0.3)
        assert all(worker.in_progress == 0 for worker in world.workers.values())
        assert sum(worker.cancelled_requests for worker in world.workers.values()) == 1

    run_in_direct_world(scenario)


def test_request_whose_caller_left_while_it_waited_for_capacity_is_not_sent() -> None:
    async def scenario(world: DirectWorld) -> None:
        started = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for _ in range(120):
                tasks.start_soon(_call_briefly, world)
        await anyio.sleep(1.0)
        events = list(world.entries["entry-1"].events.ring)
        left = {e.request for e in events if e.decision == "caller-left"}
        sent = {e.request for e in events if e.decision == "attempt-abandoned"}
        assert len(left - sent) > 0
        arrivals = [t for worker in world.workers.values() for t in worker.arrivals]
        assert max(arrivals) < started + LEAVES_AFTER_SECONDS + 0.01

    run_in_direct_world(scenario)


async def _call_briefly(world: DirectWorld) -> None:
    await world.call("entry-1", "/chat/1", SIZE, client_timeout=LEAVES_AFTER_SECONDS)


def test_event_that_a_resumed_run_repeats_is_passed_on_once() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.repeats_last_event = True
        for _ in range(12):
            world.workers["rank-0"].faults = [WorkerFault.CUT_EVENT]
            reply = await world.call("entry-1", "/chat/1", SIZE)
            assert (reply.event_ids, reply.complete) == (EVENT_IDS, True)
        assert any(
            "last-event-id" in seen
            for worker in world.workers.values()
            for seen in worker.received_headers
        )

    run_in_direct_world(scenario)


def test_stream_that_ends_within_an_event_never_looks_complete() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [WorkerFault.TRUNCATED_END]
        reply = await world.call("entry-1", "/chat/1", SIZE)
        assert (reply.event_ids, reply.complete) == ([1, 2], False)

    row = build_route_row("/chat/", "model", "stream", maxAttempts=2)
    run_in_direct_world(scenario, config=build_config(routes=[row]))
