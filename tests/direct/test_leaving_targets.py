"""A target that announces its shutdown in its answers gets no new requests."""

import anyio
import pytest
from builders import build_head
from direct_builders import DIARY, MODEL, in_direct_world

from briarthread_common.direct.response_signals import read_response_signals
from briarthread_standins.direct_world import DirectWorld

LIST = "/list/1"
STREAM = {"x-token-count": "800,100"}
REPORT_SECONDS = 1.0
"""Time within which entries receive each other's reports."""


async def ask_list(world: DirectWorld, entry: str = "entry-1") -> None:
    reply = await world.ask(entry, LIST, method="GET", body=None)
    assert reply.status == 200


async def ask_at_once(world: DirectWorld, entry: str, times: int) -> None:
    """Send concurrent requests, which are spread over the targets."""
    async with anyio.create_task_group() as tasks:
        for _ in range(times):
            tasks.start_soon(ask_list, world, entry)


def test_target_that_announces_its_shutdown_gets_no_new_requests() -> None:
    async def scenario(world: DirectWorld) -> None:
        leaving = world.workers["diary-0"]
        leaving.leaving = "1"
        await ask_at_once(world, "entry-1", 12)
        assert leaving.arrivals
        before = len(leaving.arrivals)
        await anyio.sleep(0.1)
        await ask_at_once(world, "entry-1", 30)
        assert len(leaving.arrivals) == before

    in_direct_world(scenario, ranks=0)


# Guards against a list row that still says "ready" cancelling the announcement.
def test_announced_shutdown_holds_while_the_store_is_unreachable() -> None:
    async def scenario(world: DirectWorld) -> None:
        leaving = world.workers["diary-0"]
        leaving.leaving = "1"
        world.network.cut("palermo", "store")
        await ask_at_once(world, "entry-1", 12)
        before = len(leaving.arrivals)
        world.network.heal()
        world.list_worker("diary-0", DIARY)
        await anyio.sleep(4.0)
        await ask_at_once(world, "entry-1", 30)
        assert len(leaving.arrivals) == before > 0

    in_direct_world(scenario, ranks=0)


def test_announced_shutdown_is_reported_to_other_entries() -> None:
    async def scenario(world: DirectWorld) -> None:
        leaving = world.workers["diary-0"]
        leaving.leaving = "1"
        await ask_at_once(world, "entry-1", 12)
        before = len(leaving.arrivals)
        await anyio.sleep(REPORT_SECONDS)
        await ask_at_once(world, "entry-2", 30)
        assert len(leaving.arrivals) == before > 0

    in_direct_world(scenario, ("entry-1", "entry-2"), ranks=0)


# Guards against reading the announcement only after the whole body.
def test_shutdown_is_noted_before_the_announcing_stream_ends() -> None:
    async def scenario(world: DirectWorld) -> None:
        rank = world.workers["rank-0"]
        rank.leaving, rank.pieces, rank.event_pause = "1", 25, 0.1
        for other in ("rank-1", "rank-2"):
            world.list_worker(other, MODEL, state="draining")
        await anyio.sleep(1.0)
        replies = []

        async def follow() -> None:
            replies.append(await world.ask("entry-1", "/chat/1", STREAM))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow)
            await anyio.sleep(0.5)
            refused = await world.ask("entry-1", "/chat/1", STREAM)
            assert refused.status == 503
        assert replies[0].event_ids == list(range(1, 26))
        assert len(rank.arrivals) == 1

    in_direct_world(scenario)


# Guards against an announcement that outlasts the removal from the list.
def test_target_is_used_again_after_it_was_removed_and_listed_again() -> None:
    async def scenario(world: DirectWorld) -> None:
        worker = world.workers["diary-0"]
        worker.leaving = "1"
        await ask_list(world)
        reply = await world.ask("entry-1", LIST, method="GET", body=None)
        assert reply.status == 503
        world.store.drop("servers", "diary-0")
        await anyio.sleep(3.0)
        worker.leaving = None
        world.list_worker("diary-0", DIARY)
        await anyio.sleep(3.0)
        await ask_list(world)

    in_direct_world(scenario, ranks=0, diaries=1)


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
        await world.ask("entry-1", LIST, method="GET", body=None)
        assert world.entries["entry-1"].leaving_targets.own == set()

    in_direct_world(scenario, ranks=0, diaries=1)
