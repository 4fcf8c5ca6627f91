"""What agents say of a group helps, and cannot keep callers out for long."""

import anyio
from direct_builders import MODEL, in_direct_world

from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.group_report import GroupReport
from briarthread_standins.direct_worker import WorkerFault
from briarthread_standins.direct_world import DirectWorld

SIZE = {"x-token-count": "100,30"}


def say(world: DirectWorld, serving: bool) -> None:
    """Have an agent say whether the group serves."""
    entry = world.entries["entry-1"]
    entry.group_reports.put(GroupId(MODEL), GroupReport(serving), anyio.current_time())


async def statuses(world: DirectWorld, serving: bool, number: int) -> list[int]:
    """Ask so many times, a tenth of a second apart, while an agent says so."""
    found = []
    for _ in range(number):
        say(world, serving)
        found.append((await world.ask("entry-1", "/chat/1", SIZE)).status)
        await anyio.sleep(0.1)
    return found


def test_group_that_is_said_to_be_away_is_refused_at_once() -> None:
    async def scenario(world: DirectWorld) -> None:
        say(world, serving=False)
        reply = await world.ask("entry-1", "/chat/1", SIZE)
        assert reply.status == 503
        assert reply.headers["briarthread-outcome"] == "not-run"
        assert not any(worker.seen for worker in world.workers.values())

    in_direct_world(scenario)


def test_wrong_word_that_a_group_is_away_is_found_out_by_a_probe() -> None:
    async def scenario(world: DirectWorld) -> None:
        found = await statuses(world, serving=False, number=10)
        assert 200 in found[:5]
        assert found[-4:] == [200] * 4

    in_direct_world(scenario)


def test_word_that_a_group_serves_again_ends_its_outage() -> None:
    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [WorkerFault.GROUP_BROKEN]
        assert (await world.ask("entry-1", "/chat/1", SIZE)).status == 503
        for worker in world.workers.values():
            worker.faults = []
        await anyio.sleep(1)
        assert await statuses(world, serving=True, number=3) == [200] * 3

    in_direct_world(scenario)
