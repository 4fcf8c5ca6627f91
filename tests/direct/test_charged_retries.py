"""Each kind of arrival beyond the first of a request is charged to the retry budget."""

from collections.abc import Awaitable, Callable

import anyio
import pytest
from direct_builders import MODEL, run_in_direct_world
from retry_oracle import arrivals_beyond_the_first

from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.group_report import GroupReport
from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance
from briarthread_standins.direct_worker import WorkerFault
from briarthread_standins.direct_world import RETRY_ALLOWANCE, DirectWorld

Play = Callable[[DirectWorld], Awaitable[None]]

NO_RETRIES = RetryAllowance(0.0, 0.0, 10.0)
SIZE = {"x-token-count": "100,200"}
SAVING_SECONDS = 10.0
"""Time after which an entry has saved up its part of the budget."""


def fault_at_all_targets(fault: WorkerFault, path: str) -> Play:
    """Return a play of a request to targets that all have a fault once."""

    async def play(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.faults = [fault]
        await world.call("entry-1", path, SIZE if path == "/chat/1" else None)

    return play


async def replace_targets(world: DirectWorld) -> None:
    """Let other targets answer at the addresses of the listed ones."""
    for worker in world.workers.values():
        worker.name = f"successor-of-{worker.name}"
    await world.call("entry-1", "/list/1")


async def turn_ranks_slow(world: DirectWorld) -> None:
    """Report the rank of a running stream as slow."""
    for worker in world.workers.values():
        worker.event_interval, worker.event_count = 0.1, 20
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.call, "entry-1", "/chat/1", SIZE)
        await anyio.sleep(0.85)
        (slow,) = [name for name, worker in world.workers.items() if worker.runs]
        host = world.addresses[slow].rpartition(":")[0]
        for _ in range(8):
            report = GroupReport(True, {host: 5.0})
            now = anyio.current_time()
            world.entries["entry-1"].group_reports.put(GroupId(MODEL), report, now)
            await anyio.sleep(0.2)


async def silence_a_target(world: DirectWorld) -> None:
    """Let a target that has answered before take requests without answering."""
    for _ in range(12):
        await world.call("entry-1", "/list/1")
    world.workers["diary-0"].faults = [WorkerFault.NO_RESPONSE] * 100
    async with anyio.create_task_group() as tasks:
        for _ in range(6):
            tasks.start_soon(world.call, "entry-1", "/list/1")


PLAYS = {
    "refused": fault_at_all_targets(WorkerFault.REFUSE, "/list/1"),
    "own-error": fault_at_all_targets(WorkerFault.SERVER_ERROR, "/list/1"),
    "response-lost": fault_at_all_targets(WorkerFault.LOSE_RESPONSE, "/list/1"),
    "other-request": fault_at_all_targets(WorkerFault.WRONG_REQUEST_ID, "/list/1"),
    "resumed-stream": fault_at_all_targets(WorkerFault.CUT_EVENT, "/chat/1"),
    "refused-stream": fault_at_all_targets(WorkerFault.REFUSE, "/chat/1"),
    "replaced-targets": replace_targets,
    "slow-rank": turn_ranks_slow,
    "silent-target": silence_a_target,
}


def count_retries(play: Play, allowance: RetryAllowance) -> int:
    """Return the arrivals beyond the first while an allowance is in force."""
    counts: list[int] = []

    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(SAVING_SECONDS)
        world.entries["entry-1"].budget.allowance = allowance
        await play(world)
        counts.append(len(arrivals_beyond_the_first(list(world.workers.values()))))

    run_in_direct_world(scenario)
    return counts[0]


@pytest.mark.parametrize("kind", PLAYS)
def test_request_reaches_a_second_target_only_if_the_budget_allows_it(
    kind: str,
) -> None:
    assert count_retries(PLAYS[kind], RETRY_ALLOWANCE) > 0
    assert count_retries(PLAYS[kind], NO_RETRIES) == 0


def test_attempt_that_was_not_written_needs_no_retry_and_does_not_arrive_later() -> (
    None
):
    async def scenario(world: DirectWorld) -> None:
        world.entries["entry-1"].budget.allowance = NO_RETRIES
        world.network.partition("palermo", "away")
        worker = world.workers["diary-0"]
        world.network.listen(world.addresses["diary-0"], "away", worker.app)
        replies = [(await world.call("entry-1", "/list/1")).status for _ in range(6)]
        world.network.heal()
        await anyio.sleep(10.0)
        assert replies == [200] * 6
        assert arrivals_beyond_the_first(list(world.workers.values())) == []

    run_in_direct_world(scenario)
