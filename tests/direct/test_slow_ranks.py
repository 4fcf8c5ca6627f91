"""Streams continue on another rank when their own becomes slow."""

import anyio
from direct_builders import MODEL, build_direct_request, run_in_direct_world

from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.group_report import GroupReport
from briarthread_common.messages.running_report import RunningReport
from briarthread_entry.direct.groups.group_capacity import combined_capacity
from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance
from briarthread_standins.direct_world import DirectResponse, DirectWorld

SIZE = {"x-token-count": "100,200"}
STREAM_PATH = "/chat/1"


def report_slow(world: DirectWorld, name: str, factor: float) -> None:
    """Report a slow rank to the entry, as an agent of its group does."""
    host = world.addresses[name].rpartition(":")[0]
    report = GroupReport(True, {host: factor})
    entry = world.entries["entry-1"]
    entry.group_reports.put(GroupId(MODEL), report, anyio.current_time())


def runs_by_rank(world: DirectWorld, request: str) -> dict[str, int]:
    """Return the number of runs of a request on each rank."""
    return {
        name: worker.runs[request]
        for name, worker in world.workers.items()
        if worker.runs[request]
    }


async def stream_until_slow(
    world: DirectWorld, factor: float
) -> tuple[DirectResponse, dict]:
    """Start a stream, slow its rank down and return the reply and the runs."""
    replies: list[DirectResponse] = []

    async def ask() -> None:
        replies.append(await world.call("entry-1", STREAM_PATH, SIZE))

    for worker in world.workers.values():
        worker.event_interval, worker.event_count = 0.1, 20
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(0.85)
        request = f"request-{world.request_count}"
        (first,) = runs_by_rank(world, request)
        for _ in range(8):
            report_slow(world, first, factor)
            await anyio.sleep(0.2)
    return replies[0], runs_by_rank(world, request)


def test_stream_on_a_rank_that_becomes_slow_continues_on_another_without_a_gap() -> (
    None
):
    async def scenario(world: DirectWorld) -> None:
        reply, ran = await stream_until_slow(world, factor=5.0)
        assert reply.status == 200
        assert reply.complete
        assert reply.event_ids == list(range(1, 21))
        assert sorted(ran.values()) == [1, 1]

    run_in_direct_world(scenario)


def test_stream_stays_on_a_slightly_slower_rank() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply, ran = await stream_until_slow(world, factor=1.8)
        assert reply.event_ids == list(range(1, 21))
        assert list(ran.values()) == [1]

    run_in_direct_world(scenario)


def test_stream_stays_on_its_rank_when_the_retry_budget_is_used_up() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.entries["entry-1"].budget.allowance = RetryAllowance(0.0, 0.0, 10.0)
        reply, ran = await stream_until_slow(world, factor=5.0)
        assert reply.event_ids == list(range(1, 21))
        assert list(ran.values()) == [1]

    run_in_direct_world(scenario)


def test_new_streams_avoid_a_slow_rank() -> None:
    async def scenario(world: DirectWorld) -> None:
        report_slow(world, "rank-0", 5.0)
        for _ in range(12):
            report_slow(world, "rank-0", 5.0)
            assert (await world.call("entry-1", STREAM_PATH, SIZE)).status == 200
        assert sum(world.workers["rank-0"].runs.values()) == 0

    run_in_direct_world(scenario)


def test_served_streams_are_recorded_in_the_event_log() -> None:
    async def scenario(world: DirectWorld) -> None:
        for _ in range(10):
            assert (await world.call("entry-1", STREAM_PATH, SIZE)).status == 200
        await anyio.sleep(1)
        events = world.entries["entry-1"].events.ring
        assert sum(event.decision == "request-served" for event in events) == 10

    run_in_direct_world(scenario)


def test_capacity_excludes_slow_ranks_despite_a_recent_count_of_all_ranks() -> None:
    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        report_slow(world, "rank-0", 4.0)
        now = anyio.current_time()
        entry.peer_reports.put(
            "entry-2", RunningReport({"rank-0": 6, "rank-1": 1}), now
        )
        request = build_direct_request()
        entry.capacity.note_event(request.service, GroupId(MODEL), None)
        assert combined_capacity(entry.capacity.capacities(request, now)).running == 1

    run_in_direct_world(scenario)
