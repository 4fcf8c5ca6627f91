"""Agents' reports on a group are used, and wrong ones do not block callers for long."""

import anyio
from direct_builders import MODEL, run_in_direct_world

from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.group_report import GroupReport
from briarthread_standins.direct_worker import WorkerFault
from briarthread_standins.direct_world import DirectWorld

SIZE = {"x-token-count": "100,30"}


def put_report(world: DirectWorld, serving: bool) -> None:
    """Store an agent's report that the group serves or not."""
    entry = world.entries["entry-1"]
    entry.group_reports.put(GroupId(MODEL), GroupReport(serving), anyio.current_time())


async def statuses(world: DirectWorld, serving: bool, number: int) -> list[int]:
    """Send ``number`` requests, 0.1 s apart, each after a report of ``serving``."""
    results = []
    for _ in range(number):
        put_report(world, serving)
        results.append((await world.call("entry-1", "/chat/1", SIZE)).status)
        await anyio.sleep(0.1)
    return results


def test_group_reported_as_not_serving_is_refused_at_once() -> None:
    async def scenario(world: DirectWorld) -> None:
        put_report(world, serving=False)
        reply = await world.call("entry-1", "/chat/1", SIZE)
        assert reply.status == 503
        assert reply.headers["briarthread-outcome"] == "not-run"
        assert not any(worker.received_headers for worker in world.workers.values())

    run_in_direct_world(scenario)


def test_wrong_report_of_an_outage_is_corrected_by_a_probe() -> None:
    async def scenario(world: DirectWorld) -> None:
        results = await statuses(world, serving=False, number=10)
        assert 200 in results[:5]
        assert results[-4:] == [200] * 4

    run_in_direct_world(scenario)


def test_report_that_a_group_serves_ends_its_outage() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [WorkerFault.GROUP_BROKEN]
        assert (await world.call("entry-1", "/chat/1", SIZE)).status == 503
        for worker in world.workers.values():
            worker.faults = []
        await anyio.sleep(1)
        assert await statuses(world, serving=True, number=3) == [200] * 3

    run_in_direct_world(scenario)
