"""Streams go on at another rank when their own turns slow."""

import anyio
from direct_builders import MODEL, build_direct_request, in_direct_world

from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.group_report import GroupReport
from briarthread_common.messages.running_report import RunningReport
from briarthread_entry.direct.group_capacity import combined_capacity
from briarthread_standins.direct_world import DirectWorld, Reply

SIZE = {"x-token-count": "100,200"}
CHAT = "/chat/1"


def report_slow(world: DirectWorld, name: str, factor: float) -> None:
    """Tell the entry that a rank is slow, as its group's agent does."""
    host = world.addresses[name].rpartition(":")[0]
    report = GroupReport(True, {host: factor})
    entry = world.entries["entry-1"]
    entry.group_reports.put(GroupId(MODEL), report, anyio.current_time())


def runs(world: DirectWorld, request: str) -> dict[str, int]:
    """Return how often each rank ran a request."""
    return {
        name: worker.runs[request]
        for name, worker in world.workers.items()
        if worker.runs[request]
    }


async def stream_until_slow(world: DirectWorld, factor: float) -> tuple[Reply, dict]:
    """Start a stream, let its rank turn slow, return the answer and the runs."""
    replies: list[Reply] = []

    async def ask() -> None:
        replies.append(await world.ask("entry-1", CHAT, SIZE))

    for worker in world.workers.values():
        worker.event_pause, worker.pieces = 0.1, 20
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(0.85)
        request = f"request-{world.requests}"
        (first,) = runs(world, request)
        for _ in range(8):
            report_slow(world, first, factor)
            await anyio.sleep(0.2)
    return replies[0], runs(world, request)


def test_stream_on_a_rank_that_turns_slow_goes_on_at_another_without_a_gap() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply, ran = await stream_until_slow(world, factor=5.0)
        assert reply.status == 200
        assert reply.whole
        assert reply.event_ids == list(range(1, 21))
        assert sorted(ran.values()) == [1, 1]

    in_direct_world(scenario)


def test_stream_stays_on_a_rank_that_is_a_little_slower() -> None:
    async def scenario(world: DirectWorld) -> None:
        reply, ran = await stream_until_slow(world, factor=1.8)
        assert reply.event_ids == list(range(1, 21))
        assert list(ran.values()) == [1]

    in_direct_world(scenario)


def test_stream_stays_where_the_retry_budget_is_used_up() -> None:
    async def scenario(world: DirectWorld) -> None:
        budget = world.entries["entry-1"].budget
        while budget.spend(MODEL, anyio.current_time()):
            pass
        reply, ran = await stream_until_slow(world, factor=5.0)
        assert reply.event_ids == list(range(1, 21))
        assert list(ran.values()) == [1]

    in_direct_world(scenario)


def test_new_streams_go_to_other_ranks() -> None:
    async def scenario(world: DirectWorld) -> None:
        report_slow(world, "rank-0", 5.0)
        for _ in range(12):
            report_slow(world, "rank-0", 5.0)
            assert (await world.ask("entry-1", CHAT, SIZE)).status == 200
        assert sum(world.workers["rank-0"].runs.values()) == 0

    in_direct_world(scenario)


def test_streams_that_were_served_are_noted_as_such() -> None:
    async def scenario(world: DirectWorld) -> None:
        for _ in range(10):
            assert (await world.ask("entry-1", CHAT, SIZE)).status == 200
        await anyio.sleep(1)
        events = world.entries["entry-1"].events.ring
        assert sum(event.decision == "request-served" for event in events) == 10

    in_direct_world(scenario)


def test_room_counts_the_ranks_in_use_though_an_event_just_counted_all() -> None:
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

    in_direct_world(scenario)
