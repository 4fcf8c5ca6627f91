"""A target that announces its shutdown in a response gets no new requests."""

import anyio
import pytest
from builders import build_head
from direct_builders import DIARY, MODEL, run_in_direct_world

from briarthread_common.direct.response_signals import read_response_signals
from briarthread_standins.direct_world import DirectWorld

LIST_PATH = "/list/1"
STREAM_SIZE = {"x-token-count": "800,100"}
REPORT_SECONDS = 1.0
"""Time in seconds within which entries receive each other's reports."""


async def ask_list(world: DirectWorld, entry: str = "entry-1") -> None:
    reply = await world.call(entry, LIST_PATH, method="GET", body=None)
    assert reply.status == 200


async def ask_concurrently(world: DirectWorld, entry: str, times: int) -> None:
    """Send concurrent requests, which are spread over the targets."""
    async with anyio.create_task_group() as tasks:
        for _ in range(times):
            tasks.start_soon(ask_list, world, entry)


def test_target_that_announces_its_shutdown_gets_no_new_requests() -> None:
    async def scenario(world: DirectWorld) -> None:
        leaving = world.workers["diary-0"]
        leaving.leaving = "1"
        await ask_concurrently(world, "entry-1", 12)
        assert leaving.arrivals
        before = len(leaving.arrivals)
        await anyio.sleep(0.1)
        await ask_concurrently(world, "entry-1", 30)
        assert len(leaving.arrivals) == before

    run_in_direct_world(scenario, ranks=0)


# Guards against a list row with the state "ready" that cancels the announcement.
def test_announced_shutdown_holds_while_the_store_is_unreachable() -> None:
    async def scenario(world: DirectWorld) -> None:
        leaving = world.workers["diary-0"]
        leaving.leaving = "1"
        world.network.partition("palermo", "store")
        await ask_concurrently(world, "entry-1", 12)
        before = len(leaving.arrivals)
        world.network.heal()
        world.register_worker("diary-0", DIARY)
        await anyio.sleep(4.0)
        await ask_concurrently(world, "entry-1", 30)
        assert len(leaving.arrivals) == before > 0

    run_in_direct_world(scenario, ranks=0)


def test_announced_shutdown_is_reported_to_other_entries() -> None:
    async def scenario(world: DirectWorld) -> None:
        leaving = world.workers["diary-0"]
        leaving.leaving = "1"
        await ask_concurrently(world, "entry-1", 12)
        before = len(leaving.arrivals)
        await anyio.sleep(REPORT_SECONDS)
        await ask_concurrently(world, "entry-2", 30)
        assert len(leaving.arrivals) == before > 0

    run_in_direct_world(scenario, ("entry-1", "entry-2"), ranks=0)


# Guards against reading the announcement only after the complete body.
def test_shutdown_is_noted_before_the_announcing_stream_ends() -> None:
    async def scenario(world: DirectWorld) -> None:
        rank = world.workers["rank-0"]
        rank.leaving, rank.event_count, rank.event_interval = "1", 25, 0.1
        for other in ("rank-1", "rank-2"):
            world.register_worker(other, MODEL, state="draining")
        await anyio.sleep(1.0)
        replies = []

        async def follow() -> None:
            replies.append(await world.call("entry-1", "/chat/1", STREAM_SIZE))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow)
            await anyio.sleep(0.5)
            refused = await world.call("entry-1", "/chat/1", STREAM_SIZE)
            assert refused.status == 503
        assert replies[0].event_ids == list(range(1, 26))
        assert len(rank.arrivals) == 1

    run_in_direct_world(scenario)


# Guards against an announcement that outlasts the removal of the target.
def test_target_is_used_again_after_it_was_removed_and_listed_again() -> None:
    async def scenario(world: DirectWorld) -> None:
        worker = world.workers["diary-0"]
        worker.leaving = "1"
        await ask_list(world)
        reply = await world.call("entry-1", LIST_PATH, method="GET", body=None)
        assert reply.status == 503
        world.store.delete("servers", "diary-0")
        await anyio.sleep(3.0)
        worker.leaving = None
        world.register_worker("diary-0", DIARY)
        await anyio.sleep(3.0)
        await ask_list(world)

    run_in_direct_world(scenario, ranks=0, diaries=1)


@pytest.mark.parametrize(
    ("values", "leaving"),
    [
        ([], False),
        (["1"], True),
        ([" 1 "], True),
        (["1", "1"], True),
        (["0", "1"], True),
        (["0"], False),
        ([""], False),
        (["yes"], False),
        (["1.0"], False),
    ],
)
def test_only_the_value_1_announces_a_shutdown(
    values: list[str], leaving: bool
) -> None:
    head = build_head(200, *(("leaving", value) for value in values))
    assert read_response_signals(head, "leaving").leaving is leaving


def test_response_of_another_target_announces_nothing() -> None:
    async def scenario(world: DirectWorld) -> None:
        other = world.workers["diary-0"]
        other.name, other.leaving = "diary-9", "1"
        await world.call("entry-1", LIST_PATH, method="GET", body=None)
        assert world.entries["entry-1"].leaving_targets.own == set()

    run_in_direct_world(scenario, ranks=0, diaries=1)
