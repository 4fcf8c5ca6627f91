"""A service with several groups is available as long as one of them serves."""

from dataclasses import replace

import anyio
import pytest
from direct_builders import MODEL, build_direct_request, run_in_direct_world

from briarthread_common.direct.group_id import GroupId
from briarthread_common.messages.group_report import GroupReport
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.direct.groups.group_capacity import combined_capacity
from briarthread_standins.direct_worker import WorkerFault
from briarthread_standins.direct_world import DirectWorld
from briarthread_standins.load_scenario import LoadScenario
from briarthread_standins.load_simulation import register_groups, simulate_load

SIZE = {"x-token-count": "100,30"}
EVENT_IDS = [1, 2, 3, 4, 5, 6]
RANKS = 6
FIRST, SECOND = GroupId(MODEL, "g-0"), GroupId(MODEL, "g-1")


def in_two_groups(scenario: object) -> None:
    """Run a scenario with six ranks that are assigned to two groups in turn."""

    async def grouped(world: DirectWorld) -> None:
        await register_groups(world, 2, RANKS)
        await anyio.sleep(2)
        await scenario(world)

    run_in_direct_world(grouped, ranks=RANKS)


def entry_of(world: DirectWorld) -> DirectEntry:
    return world.entries["entry-1"]


def break_group(world: DirectWorld, first: int) -> None:
    """Let every second rank, from ``first`` on, refuse requests for its group."""
    for number in range(first, RANKS, 2):
        world.workers[f"rank-{number}"].faults = [WorkerFault.GROUP_BROKEN] * 50


def received_requests(world: DirectWorld, first: int) -> int:
    """Return the number of requests that the ranks of a group received."""
    return sum(
        len(world.workers[f"rank-{n}"].received_headers) for n in range(first, RANKS, 2)
    )


def test_request_refused_by_a_broken_group_continues_in_the_other_at_once() -> None:
    async def scenario(world: DirectWorld) -> None:
        break_group(world, 0)
        replies = [await world.call("entry-1", "/chat/1", SIZE) for _ in range(12)]
        assert [reply.status for reply in replies] == [200] * 12
        assert all(reply.event_ids == EVENT_IDS for reply in replies)
        assert received_requests(world, 0) <= 2

    in_two_groups(scenario)


def test_report_on_one_group_closes_only_that_group() -> None:
    async def scenario(world: DirectWorld) -> None:
        now = anyio.current_time()
        entry_of(world).group_reports.put(FIRST, GroupReport(False, group="g-0"), now)
        replies = [await world.call("entry-1", "/chat/1", SIZE) for _ in range(2)]
        assert [reply.status for reply in replies] == [200] * 2
        assert (received_requests(world, 0), received_requests(world, 1)) == (0, 2)

    in_two_groups(scenario)


def test_service_is_refused_at_once_only_when_both_groups_are_broken() -> None:
    async def scenario(world: DirectWorld) -> None:
        break_group(world, 0)
        break_group(world, 1)
        started = anyio.current_time()
        replies = [await world.call("entry-1", "/chat/1", SIZE) for _ in range(10)]
        assert {reply.status for reply in replies} == {503}
        assert {r.headers["briarthread-outcome"] for r in replies} == {"not-run"}
        assert anyio.current_time() - started < 0.3
        assert (received_requests(world, 0), received_requests(world, 1)) == (1, 1)

    in_two_groups(scenario)


def test_interrupted_stream_continues_in_the_other_group() -> None:
    async def scenario(world: DirectWorld) -> None:
        for number in range(0, RANKS, 2):
            world.workers[f"rank-{number}"].faults = [WorkerFault.CUT_EVENT] * 50
        replies = [await world.call("entry-1", "/chat/1", SIZE) for _ in range(8)]
        assert [reply.event_ids for reply in replies] == [EVENT_IDS] * 8
        resumed = {
            name
            for name, worker in world.workers.items()
            if any("last-event-id" in headers for headers in worker.received_headers)
        }
        assert resumed
        assert resumed <= {"rank-1", "rank-3", "rank-5"}

    in_two_groups(scenario)


def test_pause_before_a_stream_continues_elsewhere_is_not_a_pass() -> None:
    async def scenario(world: DirectWorld) -> None:
        cut = world.workers["rank-0"]
        cut.faults, cut.events_before_cut = [WorkerFault.CUT_EVENT] * 50, 1
        for worker in world.workers.values():
            worker.delay = 1.0
        for _ in range(8):
            await world.call("entry-1", "/chat/1", SIZE)
        meter = entry_of(world).capacity.meters[SECOND]
        assert meter.mean_seconds(anyio.current_time()) < 0.1

    in_two_groups(scenario)


def test_capacity_is_that_of_the_serving_groups() -> None:
    async def scenario(world: DirectWorld) -> None:
        capacity, request = entry_of(world).capacity, build_direct_request()
        now = anyio.current_time()
        both_limits = combined_capacity(capacity.capacities(request, now)).limit
        capacity.note_refused(FIRST, "10.9.9.9:1")
        assert (
            combined_capacity(capacity.capacities(request, now)).limit
            == both_limits / 2
        )
        assert capacity.open_groups(request, now) == {SECOND}

    in_two_groups(scenario)


def test_rank_is_slow_only_relative_to_its_group() -> None:
    async def scenario(world: DirectWorld) -> None:
        hosts = [world.addresses[f"rank-{n}"].rpartition(":")[0] for n in (0, 2, 4)]
        entry = entry_of(world)
        now = anyio.current_time()
        report = GroupReport(True, dict.fromkeys(hosts, 3.0), "g-0")
        entry.group_reports.put(FIRST, report, now)
        assert len(entry.slow_ranks.usable_ranks(MODEL, now)) == RANKS
        one_slow_rank = GroupReport(True, {hosts[0]: 3.0}, "g-0")
        entry.group_reports.put(FIRST, one_slow_rank, now)
        names = {s.target.name for s in entry.slow_ranks.usable_ranks(MODEL, now)}
        assert names == {f"rank-{n}" for n in range(1, RANKS)}

    in_two_groups(scenario)


def test_rank_that_changes_its_group_is_followed() -> None:
    async def scenario(world: DirectWorld) -> None:
        entry = entry_of(world)
        target = entry.registry.states["rank-0"].target
        assert entry.membership.group_of(target) == FIRST
        row = entry.directory.all()["side-0"]
        moved = type(row)(
            row.name, row.data_centre, row.address, row.role, MODEL, group="g-1"
        )
        await entry.store.register_instance(moved)
        await anyio.sleep(2)
        assert entry.membership.group_of(target) == SECOND

    in_two_groups(scenario)


def test_rank_without_a_listed_group_belongs_to_the_only_group() -> None:
    async def scenario(world: DirectWorld) -> None:
        entry = entry_of(world)
        target = entry.registry.states["rank-4"].target
        assert entry.membership.group_of(target) == GroupId(MODEL)
        await register_groups(world, groups=1, ranks=2)
        await anyio.sleep(2)
        assert entry.membership.group_of(target) == FIRST
        await register_groups(world, groups=2, ranks=2)
        await anyio.sleep(2)
        assert entry.membership.group_of(target) == GroupId(MODEL)

    run_in_direct_world(scenario, ranks=RANKS)


@pytest.mark.parametrize("seed", range(1, 5))
def test_outage_of_one_of_two_groups_hardly_affects_callers(seed: int) -> None:
    scenario = LoadScenario(12.0, ranks=12, groups=2, outage_seconds=5.0, seed=seed)
    results, ungrouped_results = (
        simulate_load(scenario),
        simulate_load(replace(scenario, membership_reported=False)),
    )
    assert results.in_time >= 0.95 * results.requests
    assert results.refused_twice == 0
    assert results.score > ungrouped_results.score + 0.1
