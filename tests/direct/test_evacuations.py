"""Evacuated data centres get no new requests, and callers are served elsewhere."""

import random

import anyio
import pytest
from direct_builders import (
    DIARY,
    MODEL,
    build_direct_request,
    build_engine_profile,
    build_target,
    run_in_direct_world,
)

from briarthread_common.core.metrics import Metrics
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_common.messages.limit_report import LimitReport
from briarthread_common.messages.token_messages import TokenRequest
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.direct.groups.group_concurrency import max_concurrency
from briarthread_entry.direct.targets.evacuations import Evacuations
from briarthread_entry.direct.targets.target_state import DirectTargetState
from briarthread_platform.adapter import ADAPTER
from briarthread_standins.direct_world import DirectResponse, DirectWorld

IN_FORCE_SECONDS = 5.0
"""Time in seconds after the platform's acceptance within which new requests must have
stopped."""
BOTH = ("palermo", "catania")
ENTRIES = ("entry-1", "entry-2", "entry-3", "entry-4")
STREAM_SIZE = {"x-token-count": "800,100"}
LONGEST_REFUSAL_SECONDS = 0.02


def evacuate(world: DirectWorld, data_centre: str) -> None:
    world.store.put("op", f"evacuate/{data_centre}", {})


def take_back(world: DirectWorld, data_centre: str) -> None:
    world.store.delete("op", f"evacuate/{data_centre}")


def add_remote_workers(world: DirectWorld) -> None:
    """Add two targets of each service in catania; those of the builder are local."""
    for number in range(2):
        world.add_worker(f"far-diary-{number}", DIARY, "catania")
        world.add_worker(f"far-rank-{number}", MODEL, "catania")


def arrivals(world: DirectWorld, prefix: str) -> int:
    return sum(
        len(worker.arrivals)
        for name, worker in world.workers.items()
        if name.startswith(prefix)
    )


async def call_all(world: DirectWorld, times: int = 12) -> list[DirectResponse]:
    """Send concurrent plain requests and streams to each entry."""
    replies: list[DirectResponse] = []

    async def call(entry: str, path: str, headers: dict[str, str]) -> None:
        replies.append(await world.call(entry, path, headers))

    async with anyio.create_task_group() as tasks:
        for entry in world.entries:
            for number in range(times):
                path, headers = (
                    ("/list/1", {}) if number % 2 else ("/chat/1", STREAM_SIZE)
                )
                tasks.start_soon(call, entry, path, headers)
    return replies


async def check_evacuated(world: DirectWorld) -> None:
    """Check that callers of all entries are served by the targets in catania only."""
    before = arrivals(world, "diary") + arrivals(world, "rank")
    replies = await call_all(world)
    assert {reply.status for reply in replies} == {200}
    assert arrivals(world, "diary") + arrivals(world, "rank") == before
    assert arrivals(world, "far-diary") > 0
    assert arrivals(world, "far-rank") > 0


def test_evacuated_data_centre_gets_no_requests_and_its_callers_are_served() -> None:
    """Guards against entries that ignore the operator's request."""

    async def scenario(world: DirectWorld) -> None:
        add_remote_workers(world)
        await anyio.sleep(1.0)
        await call_all(world)
        assert arrivals(world, "diary") > 0
        assert arrivals(world, "rank") > 0
        evacuate(world, "palermo")
        await anyio.sleep(IN_FORCE_SECONDS)
        await check_evacuated(world)

    run_in_direct_world(scenario, ENTRIES, data_centres=BOTH)


def test_entry_cut_off_from_the_platform_learns_of_an_evacuation_from_a_peer() -> None:
    """Guards against an entry that takes the request only from the platform."""

    async def scenario(world: DirectWorld) -> None:
        add_remote_workers(world)
        await anyio.sleep(1.0)
        world.network.partition("catania", "store")
        evacuate(world, "palermo")
        await anyio.sleep(IN_FORCE_SECONDS)
        await check_evacuated(world)

    run_in_direct_world(scenario, ENTRIES, data_centres=BOTH)


def test_entry_that_was_cut_off_from_all_applies_the_evacuation_when_back() -> None:
    """Guards against an entry that returns with its former view."""

    async def scenario(world: DirectWorld) -> None:
        add_remote_workers(world)
        await anyio.sleep(1.0)
        world.network.partition("catania", "store")
        world.network.partition("catania", "palermo")
        evacuate(world, "palermo")
        await anyio.sleep(8.0)
        world.network.heal()
        await anyio.sleep(IN_FORCE_SECONDS)
        await check_evacuated(world)

    run_in_direct_world(scenario, ENTRIES, data_centres=BOTH)


@pytest.mark.parametrize("config", [b"{", b"", b"\xff\xfe", b'{"version":9}'])
def test_evacuation_beside_an_invalid_configuration_is_applied(config: bytes) -> None:
    """Guards against a feed that is dropped as a whole."""

    async def scenario(world: DirectWorld) -> None:
        add_remote_workers(world)
        await anyio.sleep(1.0)
        world.store.put("op", "config", config)
        evacuate(world, "palermo")
        await anyio.sleep(IN_FORCE_SECONDS)
        await check_evacuated(world)

    run_in_direct_world(scenario, ENTRIES, data_centres=BOTH)


def test_targets_are_used_again_and_assumed_cold_after_an_evacuation() -> None:
    """
    The targets are reported before the first request reaches one of them.

    Guards against a data centre that stays evacuated, and against a burst at targets
    that have become cold meanwhile.
    """

    async def scenario(world: DirectWorld) -> None:
        add_remote_workers(world)
        await anyio.sleep(1.0)
        evacuate(world, "palermo")
        await anyio.sleep(IN_FORCE_SECONDS)
        entry = world.entries["entry-1"]
        assert entry.evacuations.names() == ["palermo"]
        assumed_cold: list[tuple[set[str], int]] = []
        before = arrivals(world, "diary")
        entry.registry.on_assumed_cold = lambda names: assumed_cold.append(
            (set(names), arrivals(world, "diary") - before)
        )
        take_back(world, "palermo")
        async with anyio.create_task_group() as tasks:
            for _ in range(100):
                tasks.start_soon(world.call, "entry-1", "/list/1")
                await anyio.sleep(0.01)
        local = {name for name in world.workers if not name.startswith("far-")}
        assert assumed_cold == [(local, 0)]
        assert arrivals(world, "diary") > before
        assert entry.evacuations.names() == []

    run_in_direct_world(scenario)


def test_target_listed_at_the_end_of_an_evacuation_is_assumed_cold() -> None:
    """Guards against a target that is missed since its row is not yet applied."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        install(entry.feeds.routes, {"evacuate/palermo": "{}"})
        entry.evacuations.refresh()
        assumed_cold: list[str] = []
        entry.registry.on_assumed_cold = assumed_cold.extend
        row = entry.feeds.targets.items["diary-0"]
        install(entry.feeds.targets, {"diary-new": row})
        install(entry.feeds.routes, {"evacuate/palermo": None})
        entry.evacuations.refresh()
        assert sorted(assumed_cold) == ["diary-0", "diary-new"]

    run_in_direct_world(scenario, ranks=0, diaries=1)


def test_all_data_centres_evacuated_refuses_at_once_with_no_target() -> None:
    """Guards against streams that wait for a group whose ranks are all evacuated."""

    async def scenario(world: DirectWorld) -> None:
        add_remote_workers(world)
        await anyio.sleep(1.0)
        for data_centre in BOTH:
            evacuate(world, data_centre)
        await anyio.sleep(IN_FORCE_SECONDS)
        before = arrivals(world, "")
        for path, headers in (("/list/1", {}), ("/chat/1", STREAM_SIZE)):
            for attempt in range(2):
                started = anyio.current_time()
                deadline = {"x-deadline-ms": str(8000 - attempt * 2000)}
                reply = await world.call("entry-1", path, {**headers, **deadline})
                assert reply.status == 503
                assert b"no-target" in reply.body
                assert 0.0 < float(reply.headers["retry-after"]) <= 8 / 3
                elapsed = anyio.current_time() - started
                assert elapsed <= LONGEST_REFUSAL_SECONDS
        assert arrivals(world, "") == before
        assert world.entries["entry-1"].ready() == ""

    run_in_direct_world(scenario, data_centres=BOTH)


def test_running_stream_finishes_at_an_evacuated_rank() -> None:
    """Guards against running attempts that are aborted."""

    async def scenario(world: DirectWorld) -> None:
        world.workers["rank-0"].event_count = 30
        world.workers["rank-0"].event_interval = 0.1
        replies = []

        async def follow() -> None:
            replies.append(await world.call("entry-1", "/chat/1", STREAM_SIZE))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow)
            await anyio.sleep(0.5)
            evacuate(world, "palermo")
        assert replies[0].event_ids == list(range(1, 31))
        assert len(world.workers["rank-0"].arrivals) == 1

    run_in_direct_world(scenario, ranks=1)


def test_streams_at_evacuated_ranks_count_in_passes_but_not_in_slots() -> None:
    """
    Two of four ranks are evacuated while each rank runs five streams.

    Guards against passes that are explained by the remaining streams alone, which
    raises the cost of a request and lowers the limit, and against the opposite: passes
    that get too long since the streams at evacuated ranks are not counted.
    """

    async def scenario(world: DirectWorld) -> None:
        add_remote_workers(world)
        await anyio.sleep(1.0)
        entry, now = world.entries["entry-1"], anyio.current_time()
        ranks = [s for s in entry.registry.states.values() if s.target.service == MODEL]
        for state in ranks:
            state.running = 5
        request = build_direct_request()
        (group,) = entry.capacity.capacities(request, now)
        before = entry.capacity.capacities(request, now)[group]
        assert (before.running, before.limit) == (20, 24)
        install(entry.feeds.routes, {"evacuate/palermo": "{}"})
        after = entry.capacity.capacities(request, now)[group]
        assert (after.running, after.limit) == (10, 12)
        assert entry.capacity._cached_running(group, now) == 20
        meter = entry.capacity.meter(request.service, group)
        meter.last_event, meter.cost.value = now, 0.004
        after = entry.capacity.capacities(request, now)[group]
        assert after.running == 10
        fitting = max_concurrency(4, build_engine_profile(), 0.12, 0.004)
        assert after.limit == fitting - 10 < 10

    run_in_direct_world(scenario, ranks=2)


def test_stream_that_breaks_at_an_evacuated_rank_is_resumed_elsewhere() -> None:
    """Guards against a resumed stream that goes back to the evacuated data centre."""

    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.event_interval = 1.0
        replies = []

        async def follow() -> None:
            replies.append(await world.call("entry-1", "/chat/1", STREAM_SIZE))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow)
            await anyio.sleep(1.5)
            world.add_worker("far-rank", MODEL, "catania")
            evacuate(world, "palermo")
            await anyio.sleep(1.0)
            (running,) = [n for n, w in world.workers.items() if w.in_progress]
            world.network.close(world.addresses[running])
        assert replies[0].event_ids == list(range(1, 7))
        assert arrivals(world, "rank") == 1
        assert arrivals(world, "far-rank") == 1

    run_in_direct_world(scenario, ranks=9)


def test_request_that_waits_for_a_token_does_not_go_to_an_evacuated_target() -> None:
    """Guards against a token that is used after its target was evacuated."""

    async def scenario(world: DirectWorld) -> None:
        worker = world.workers["diary-0"]
        worker.rate_limit = "8"
        await world.call("entry-1", "/list/1")
        await anyio.sleep(0.2)
        before = len(worker.arrivals)
        entry = world.entries["entry-1"]
        replies = []

        async def call() -> None:
            replies.append(await world.call("entry-1", "/list/1"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.sleep(0.05)
            assert len(worker.arrivals) == before
            install(entry.feeds.routes, {"evacuate/palermo": "{}"})
        assert replies[0].status == 503
        assert b"no-target" in replies[0].body
        assert len(worker.arrivals) == before

    run_in_direct_world(scenario, ranks=0, diaries=1)


def install(feed: Feed, changes: dict[str, str | None]) -> None:
    """Install the next version of a feed as if the platform had sent it."""
    feed.install(FeedPatch(feed.name, feed.number, feed.number + 1, changes))


def test_request_that_waits_for_capacity_is_refused_when_all_is_evacuated() -> None:
    """Guards against a request that waits for ranks that may get none."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        entry.registry.states["rank-0"].running = 100
        before = arrivals(world, "rank")
        started = anyio.current_time()
        replies = []

        async def call() -> None:
            replies.append(await world.call("entry-1", "/chat/1", STREAM_SIZE))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.sleep(0.05)
            assert not replies
            install(entry.feeds.routes, {"evacuate/palermo": "{}"})
        assert anyio.current_time() - started < 0.1
        assert replies[0].status == 503
        assert b"no-target" in replies[0].body
        assert arrivals(world, "rank") == before

    run_in_direct_world(scenario, ranks=1)


def test_broken_group_in_an_evacuated_data_centre_gets_no_probe() -> None:
    """Guards against probes, which are sent to a group that does not serve."""

    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.broken_by = "10.9.9.9:1"
        await world.call("entry-1", "/chat/1", STREAM_SIZE)
        evacuate(world, "palermo")
        await anyio.sleep(IN_FORCE_SECONDS)
        before = arrivals(world, "rank")
        for _ in range(5):
            reply = await world.call("entry-1", "/chat/1", STREAM_SIZE)
            assert reply.status == 503
            await anyio.sleep(1.0)
        assert arrivals(world, "rank") == before > 0

    run_in_direct_world(scenario, diaries=0)


def test_issuer_denies_tokens_of_an_evacuated_target() -> None:
    """Guards against an entry without contact that gets tokens from one with it."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        ask = TokenRequest("entry-2", "diary-0", LimitReport(100.0), wait=1.0)
        assert (await entry.tokens._handle_request(ask)).granted
        evacuate(world, "palermo")
        await anyio.sleep(IN_FORCE_SECONDS)
        answer = await entry.tokens._handle_request(ask)
        assert not answer.granted
        assert answer.pause > 0

    run_in_direct_world(scenario, ranks=0)


def test_evacuations_are_shown_on_the_status_page_and_in_the_metrics() -> None:
    """Guards against an evacuation that the operator cannot see."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        assert gauge(entry) == 0.0
        for data_centre in BOTH:
            evacuate(world, data_centre)
        await anyio.sleep(IN_FORCE_SECONDS)
        assert entry._status()["evacuated"] == ["catania", "palermo"]
        assert gauge(entry) == 2.0
        take_back(world, "catania")
        await anyio.sleep(IN_FORCE_SECONDS)
        assert entry._status()["evacuated"] == ["palermo"]
        assert gauge(entry) == 1.0
        assert changes(entry, "started") == 2.0
        assert changes(entry, "ended") == 1.0

    run_in_direct_world(scenario)


def gauge(entry: DirectEntry) -> float | None:
    registry = entry.metrics.registry
    return registry.get_sample_value("briarthread_evacuated_data_centres")


def changes(entry: DirectEntry, change: str) -> float | None:
    return entry.metrics.registry.get_sample_value(
        "briarthread_evacuation_changes_total", {"change": change}
    )


def test_feed_without_evacuations_is_decoded_once_per_version() -> None:
    """Guards against a decoding at each choice of a target."""
    decoded = []

    class CountingAdapter:
        def decode_evacuated(self, items: dict[str, str]) -> frozenset[str]:
            decoded.append(items)
            return ADAPTER.decode_evacuated(items)

    feed = Feed("routes")
    evacuations = Evacuations(feed, CountingAdapter(), Metrics())
    for _ in range(100):
        evacuations.refresh()
    install(feed, {"config": "{}"})
    for _ in range(100):
        evacuations.refresh()
    assert len(decoded) == 2


def test_random_evacuations_never_leave_a_target_open() -> None:
    """Guards against a view that differs from the rows after many changes."""

    async def scenario(world: DirectWorld) -> None:
        rng = random.Random(7)
        entry = world.entries["entry-1"]
        entry.registry.states["far"] = DirectTargetState(
            build_target("far", data_centre="catania")
        )
        evacuated: set[str] = set()
        for _ in range(60):
            name = rng.choice(BOTH)
            evacuated ^= {name}
            change = "{}" if name in evacuated else None
            install(entry.feeds.routes, {f"evacuate/{name}": change})
            open_states = entry.registry.available_targets(DIARY, anyio.current_time())
            centres = {state.target.data_centre for state in open_states}
            assert centres == set(BOTH) - evacuated

    run_in_direct_world(scenario, ranks=0)
