"""Blocked requests are kept in the platform's store while all entries restart."""

from collections.abc import Awaitable, Callable

import anyio
from direct_builders import run_in_direct_world

from briarthread_common.messages.blocklist_entry import (
    BlocklistEntry,
    decode_blocklist,
    encode_blocklist,
)
from briarthread_entry.direct.crashes.blocklist_store import (
    MAX_STORED_BYTES,
    RECORD,
    STORED_SECONDS,
)
from briarthread_standins.direct_config import DIARY, build_config, build_route_row
from briarthread_standins.direct_world import DirectWorld

ENTRIES = ("entry-1", "entry-2", "entry-3")
SEGMENTS = ("salon/first", "salon/culprit")


def stored(world: DirectWorld) -> list[BlocklistEntry]:
    raw = world.store.value("records", RECORD)
    return decode_blocklist(raw.decode()) if raw else []


def crash_targets(world: DirectWorld, entry: str) -> None:
    """Record crashes in succession as seen by an entry."""
    now = anyio.current_time()
    for number in range(3):
        at = now - 8.0 + 2.0 * number
        world.entries[entry].crashes.note_crash(
            f"digest-{number}", f"rank-{number}", at, at + 0.1, segments=SEGMENTS
        )


def is_refused(world: DirectWorld, entry: str) -> bool:
    segments = world.entries[entry].crashes.segments
    return segments.find_blocked(SEGMENTS, anyio.current_time()) is not None


def run(scenario: Callable[[DirectWorld], Awaitable[None]]) -> None:
    run_in_direct_world(scenario, ENTRIES)


async def restart_all(world: DirectWorld) -> None:
    for name in ENTRIES:
        world.kill_entry(name)
    await anyio.sleep(1.0)
    for name in ENTRIES:
        world.add_entry(name)


def test_entries_that_all_restart_still_refuse_what_crashed_targets() -> None:
    async def scenario(world: DirectWorld) -> None:
        crash_targets(world, "entry-1")
        await anyio.sleep(2.0)
        assert all(is_refused(world, name) for name in ENTRIES)
        assert [block.segments for block in stored(world)] == [SEGMENTS]
        await restart_all(world)
        await anyio.sleep(2.5)
        assert all(is_refused(world, name) for name in ENTRIES)

    run(scenario)


def test_whole_request_that_crashed_targets_is_stored_too() -> None:
    async def scenario(world: DirectWorld) -> None:
        now = anyio.current_time()
        for number in range(3):
            at = now - 8.0 + 2.0 * number
            world.entries["entry-1"].crashes.note_crash("d", "rank-1", at, at + 0.1)
        await anyio.sleep(2.0)
        await restart_all(world)
        await anyio.sleep(2.5)
        assert world.entries["entry-2"].crashes.is_blocked("d", anyio.current_time())

    run(scenario)


def test_block_is_stored_once_the_platform_is_back() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.refusal_status = 503
        crash_targets(world, "entry-1")
        await anyio.sleep(5.0)
        assert is_refused(world, "entry-1")
        world.store.refusal_status = None
        await anyio.sleep(3.0)
        assert [block.segments for block in stored(world)] == [SEGMENTS]

    run(scenario)


def test_entry_that_starts_without_the_platform_loads_blocks_later() -> None:
    async def scenario(world: DirectWorld) -> None:
        crash_targets(world, "entry-1")
        await anyio.sleep(2.0)
        await restart_all(world)
        world.store.refusal_status = 503
        await anyio.sleep(4.0)
        world.store.refusal_status = None
        await anyio.sleep(4.0)
        assert all(is_refused(world, name) for name in ENTRIES)

    run(scenario)


def test_two_entries_that_store_at_once_lose_no_block() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.entries["entry-1"].blocklist.add(segments=("salon/a",))
        world.entries["entry-2"].blocklist.add(segments=("salon/b",))
        world.entries["entry-3"].blocklist.add(segments=("salon/a",))
        await anyio.sleep(1.0)
        blocks = sorted(block.segments for block in stored(world))
        assert blocks == [("salon/a",), ("salon/b",)]

    run(scenario)


def test_cleared_block_is_removed_from_the_store() -> None:
    async def scenario(world: DirectWorld) -> None:
        crash_targets(world, "entry-1")
        await anyio.sleep(2.0)
        tracker = world.entries["entry-2"].crashes.segments
        tracker.note_answered(SEGMENTS, anyio.current_time())
        await anyio.sleep(1.5)
        assert stored(world) == []
        assert not any(is_refused(world, name) for name in ENTRIES)

    run(scenario)


def test_segments_that_stay_blocked_replace_the_stored_ones() -> None:
    async def scenario(world: DirectWorld) -> None:
        crash_targets(world, "entry-1")
        await anyio.sleep(2.0)
        tracker = world.entries["entry-2"].crashes.segments
        tracker.note_answered(SEGMENTS[:1], anyio.current_time())
        await anyio.sleep(1.5)
        assert [block.segments for block in stored(world)] == [SEGMENTS[1:]]
        assert all(is_refused(world, name) for name in ENTRIES)

    run(scenario)


def test_old_and_invalid_records_are_ignored() -> None:
    async def scenario(world: DirectWorld) -> None:
        await anyio.sleep(STORED_SECONDS + 10.0)
        old = BlocklistEntry(1.0, segments=SEGMENTS)
        world.store.put("records", RECORD, encode_blocklist([old]).encode())
        await restart_all(world)
        await anyio.sleep(2.5)
        assert not is_refused(world, "entry-1")
        world.store.put("records", RECORD, b"\xff no list")
        await restart_all(world)
        await anyio.sleep(2.5)
        crash_targets(world, "entry-1")
        await anyio.sleep(2.0)
        assert [block.segments for block in stored(world)] == [SEGMENTS]

    run(scenario)


def test_size_of_the_record_is_bounded() -> None:
    async def scenario(world: DirectWorld) -> None:
        for number in range(1000):
            world.entries["entry-1"].blocklist.add(segments=(f"salon/{number:060}",))
        await anyio.sleep(1.0)
        raw = world.store.value("records", RECORD)
        assert raw is not None
        assert len(raw) <= MAX_STORED_BYTES
        assert stored(world)[-1].segments == (f"salon/{999:060}",)

    run(scenario)


def test_nothing_is_read_or_stored_without_a_model_service() -> None:
    async def scenario(world: DirectWorld) -> None:
        world.store.put("records", RECORD, b"[]")
        crash_targets(world, "entry-1")
        await anyio.sleep(3.0)
        assert stored(world) == []

    plain = build_config(
        routes=[build_route_row("/list/", DIARY, "safe")], services=[{"name": DIARY}]
    )
    run_in_direct_world(scenario, ENTRIES, config=plain)
