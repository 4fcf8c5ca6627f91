"""Capacity of a group goes to urgent requests first, and nobody is starved."""

import random
from collections import Counter
from dataclasses import replace

import anyio
import msgspec
import pytest
from direct_builders import (
    MODEL,
    build_config,
    build_direct_request,
    build_engine_profile,
    build_engine_row,
    build_route_row,
    run_in_direct_world,
)
from loguru import logger

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.messages.running_report import RunningReport, merge_reports
from briarthread_entry.direct.admission.admission_rule import (
    GroupCapacity,
    Refuse,
    Start,
    WaitForCapacity,
)
from briarthread_entry.direct.admission.unreserved_shares import (
    UNRESERVED_SHARE,
    UnreservedShares,
)
from briarthread_entry.direct.admission.urgency_rule import (
    UrgencyClaim,
    UrgencyLoad,
    decide_by_urgency,
)
from briarthread_entry.direct.admission.urgency_tracker import UrgencyTracker
from briarthread_entry.direct.admission.waiting_place import WaitingPlace, request_rank
from briarthread_entry.direct.reports.peer_reports import PeerReports
from briarthread_standins.caller_results import CallerResults
from briarthread_standins.direct_world import DirectWorld
from briarthread_standins.load_scenario import LoadScenario
from briarthread_standins.load_simulation import simulate_load
from briarthread_standins.priority_load import PriorityLoad

SIZE = {"x-token-count": "100,30"}
LOAD = 26.0
"""Requests per second on a day of normal load: 0.7 of what the group completes."""
SHARES = (0.36, 0.48, 0.16)
ACCOUNTS = (10.0, 4.0, 4.0, *(1.0,) * 9)
SCENARIO = LoadScenario(
    0.0,
    seconds=12.0,
    ranks=12,
    fixed_seconds=0.08,
    request_cost=0.0003,
    slo=0.5,
    gap_slo=0.15,
    entries=15,
    accounts=ACCOUNTS,
)
"""Deployment 1 scaled down: half of its entries, a quarter of its slots and load."""
RESERVED = UrgencyClaim(unreserved=False, position=0.5)
URGENT_LOAD = UrgencyLoad(more_urgent=24.0, own=4.0, mean_seconds=2.0)


def play_days(
    seeds: tuple[int, ...],
    factor: float = 1.0,
    burst: tuple[int, float] | None = None,
    **changes: object,
) -> CallerResults:
    """Return the sum of several days, since single bursts differ by a tenth."""
    total = CallerResults()
    for seed in seeds:
        results = play(factor, burst, seed=seed, **changes)
        total.add(results)
        for key, part in results.parts.items():
            total.part(*key).add(part)
    return total


def play(
    factor: float = 1.0, burst: tuple[int, float] | None = None, **changes: object
) -> CallerResults:
    """Play a multiple of the normal load; ``burst`` adds a multiple to a priority."""
    loads = []
    for priority, share in enumerate(SHARES):
        rate = factor * share * LOAD
        extra = burst[1] * LOAD if burst and burst[0] == priority else 0.0
        loads.append(PriorityLoad(priority, rate, rate + extra, 2.0, 6.0))
    return simulate_load(replace(SCENARIO, priorities=tuple(loads), **changes))


def build_tracker(peer_reports: PeerReports | None = None) -> UrgencyTracker:
    """Return the tracker of an entry with the given reports of others."""
    return UrgencyTracker(peer_reports or PeerReports(), Metrics(), random.Random(1))


def build_place(priority: int, is_client_retry: bool = False) -> WaitingPlace:
    """Return the place of a request for the model."""
    rank = request_rank(priority, is_client_retry)
    return WaitingPlace(rank, is_client_retry, priority, 0.0, "request-1", MODEL)


def build_priority_config() -> dict[str, object]:
    """Return a configuration whose routes to the model differ in priority."""
    routes = [
        build_route_row(f"/chat-{p}/", MODEL, "stream", priority=p) for p in (0, 2, 20)
    ]
    engine = {"name": MODEL, "engine": build_engine_row()}
    return build_config(routes=routes, services=[engine])


def test_burst_of_the_least_urgent_leaves_the_most_urgent_in_time() -> None:
    """Guards against a burst that fills the group, so that urgent ones are refused."""
    urgent = play_days((1, 2, 3), burst=(2, 1.35)).of_priority(0)
    assert urgent.requests > 250
    assert urgent.in_time_share >= 0.85
    assert urgent.refused_twice <= 0.1 * urgent.requests


def test_overload_by_the_most_urgent_does_not_starve_the_others() -> None:
    """Guards against a reserve that takes all capacity from less urgent requests."""
    results = play_days((1, 2), burst=(0, 1.5))
    assert results.of_priority(0).in_time_share >= 0.53
    for priority in range(3):
        part = results.of_priority(priority)
        assert part.served_share >= 0.5 * results.served_share


def test_large_account_does_not_crowd_out_small_ones() -> None:
    """Guards against a capacity that goes to the account with the most requests."""
    results = play_days((1, 2), 1.8, accounts=(10.0, *(1.0,) * 5))
    large = results.of_account("account-0")
    assert large.requests > 500
    for number in range(1, 6):
        small = results.of_account(f"account-{number}")
        assert small.served_share >= 0.5 * results.served_share
    assert results.of_priority(0).in_time_share >= 0.75


def test_requests_of_a_broken_group_are_admitted_by_urgency_after_it_recovers() -> None:
    """Guards against less urgent retries that fill the group as soon as it recovers."""
    results = play_days((1, 2), 1.5, outage_at=3.0, outage_seconds=2.0)
    urgent, least = results.of_priority(0), results.of_priority(2)
    assert urgent.served_share >= least.served_share + 0.15
    assert urgent.served_share >= 0.8


def test_normal_load_is_served_as_without_priorities() -> None:
    """Guards against a reserve that refuses requests while there is capacity."""
    results = play()
    assert results.served_share >= 0.96
    assert results.of_priority(0).in_time_share >= 0.95


def test_reserve_ends_within_two_seconds_after_the_urgent_demand() -> None:
    """Guards against capacity that stays unused after the last urgent request."""
    tracker = build_tracker()
    for number in range(100):
        tracker.arrivals.note(MODEL, 0, 1.0 + number * 0.02)
    least, capacity = build_place(2), GroupCapacity(True, 57, 60)

    def decide(now: float) -> object:
        load = tracker.load(least, now)
        return decide_by_urgency(capacity, load, RESERVED, 0.0, 8.0, 0.5)

    assert isinstance(decide(3.0), Refuse)
    assert decide(5.0) == Start()


def test_entry_without_reports_uses_its_own_demand() -> None:
    """Guards against a reserve for a demand that nobody reports any longer."""
    reports = PeerReports()
    tracker = build_tracker(reports)
    tracker.arrivals.note(MODEL, 0, 10.0)
    reports.put("entry-2", RunningReport(demand={MODEL: {0: 40.0}}), now=10.0)
    assert tracker.demand(MODEL, 10.0) == {0: 41.2}
    assert tracker.demand(MODEL, 11.6) == pytest.approx({0: 0.2})


def test_capacity_is_used_when_all_reports_are_lost() -> None:
    """Guards against entries that hold requests back because they know too little."""

    def lose_reports(entry: object) -> None:
        entry.peer_reports.put = lambda *_, **__: None

    loads = tuple(PriorityLoad(p, s * LOAD) for p, s in enumerate(SHARES))
    scenario = replace(SCENARIO, priorities=loads, seconds=6.0)
    assert simulate_load(scenario, lose_reports).served_share >= 0.98


def test_every_entry_knows_the_demand_of_all() -> None:
    """Guards against a collector that leaves the demand out of its sums."""
    names = tuple(f"entry-{n}" for n in range(15))

    async def scenario(world: DirectWorld) -> None:
        for worker in world.workers.values():
            worker.event_interval, worker.event_count = 0.2, 20
        await anyio.sleep(2)
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(world.call, name, "/chat-2/1", SIZE)
            await anyio.sleep(0.8)
            now = anyio.current_time()
            for entry in world.entries.values():
                assert entry.urgency.demand(MODEL, now).get(2, 0.0) >= 4.0
            tasks.cancel_scope.cancel()

    run_in_direct_world(
        scenario,
        names,
        ranks=20,
        config=build_priority_config(),
        data_centres=("palermo", "catania", "messina"),
    )


def test_previous_version_understands_the_report_and_none_is_larger() -> None:
    """Guards against reports that old entries refuse, and against needless bytes."""

    class OldReport(msgspec.Struct, omit_defaults=True):
        running: dict[str, int] = {}

    report = RunningReport({"t": 1}, demand={MODEL: {0: 2.5}})
    encoded = msgspec.json.encode(report)
    assert msgspec.json.decode(encoded, type=OldReport).running == {"t": 1}
    assert msgspec.json.decode(encoded, type=RunningReport) == report
    assert msgspec.json.encode(RunningReport({"t": 1})) == b'{"running":{"t":1}}'
    assert merge_reports([report, report]).demand == {MODEL: {0: 5.0}}


def test_small_change_of_the_demand_sends_no_report() -> None:
    """Guards against lines between data centres that only repeat a noisy rate."""
    report = RunningReport(demand={MODEL: {0: 2.5}})
    assert report.same_as(RunningReport(demand={MODEL: {0: 9.0, 1: 4.0}}))
    assert report.same_as(RunningReport())
    assert not report.same_as(RunningReport(demand={MODEL: {0: 30.0}}))
    in_sum = RunningReport(demand={MODEL: {0: 60.0}})
    assert in_sum.same_as(RunningReport(demand={MODEL: {0: 80.0}}))


def test_service_with_one_priority_is_neither_measured_nor_marked() -> None:
    """Guards against work, reports or headers where no part asks for them."""

    async def scenario(world: DirectWorld) -> None:
        headers = {**SIZE, "x-request-priority": "7"}
        assert (await world.call("entry-1", "/chat/1", headers)).status == 200
        received = [h for w in world.workers.values() for h in w.received_headers]
        assert [h.get("x-request-priority") for h in received] == ["7"]
        entry = world.entries["entry-1"]
        assert entry.admission.report().demand == {}
        assert not entry.urgency.arrivals.known
        assert not entry.urgency.shares.counters
        assert not entry.urgency.durations

    run_in_direct_world(scenario)


def test_targets_get_the_priority_of_the_request_and_not_the_callers_header() -> None:
    """Guards against callers that choose their own place in a target's queue."""

    async def scenario(world: DirectWorld) -> None:
        headers = {**SIZE, "x-request-priority": "0"}
        for priority in (0, 2, 20):
            await world.call("entry-1", f"/chat-{priority}/1", headers)
        received = [h for w in world.workers.values() for h in w.received_headers]
        values = sorted(h["x-request-priority"] for h in received)
        assert values == ["0", "2", "9"]

    run_in_direct_world(scenario, config=build_priority_config())


def test_urgent_demand_holds_back_only_less_urgent_reserved_requests() -> None:
    """Guards against a reserve that also binds the most urgent or the fair share."""
    capacity = GroupCapacity(True, 58, 60)
    most_urgent = UrgencyLoad(own=24.0, less_urgent=4.0, mean_seconds=2.0)
    unreserved = UrgencyClaim(unreserved=True, position=0.9)

    def decide(load: UrgencyLoad, claim: UrgencyClaim) -> object:
        return decide_by_urgency(capacity, load, claim, 0.0, 8.0, 0.5)

    assert isinstance(decide(URGENT_LOAD, RESERVED), Refuse)
    assert decide(URGENT_LOAD, unreserved) == Start()
    assert decide(most_urgent, RESERVED) == Start()


def test_request_that_waiting_cannot_help_is_refused_at_once() -> None:
    """Guards against callers that wait in vain and retry later than they could."""
    full = GroupCapacity(True, 60, 60)
    hopeless = UrgencyLoad(more_urgent=40.0, own=20.0, mean_seconds=2.0)
    hopeful = UrgencyLoad(own=25.0, mean_seconds=2.0)
    refusal = decide_by_urgency(full, hopeless, RESERVED, 0.2, 8.0, 0.5)
    assert isinstance(refusal, Refuse)
    assert refusal.kind is ErrorKind.OVERLOADED
    waits = decide_by_urgency(full, hopeful, RESERVED, 0.2, 8.0, 0.5)
    assert waits == WaitForCapacity()


def test_higher_demand_gets_a_later_and_spread_retry_after() -> None:
    """Guards against callers that come back together before there is capacity."""
    full = GroupCapacity(True, 60, 60)

    def pauses(demand: float) -> list[float]:
        load = UrgencyLoad(own=demand, mean_seconds=2.0)
        return [
            decide_by_urgency(full, load, RESERVED, 0.0, 7.5, jitter / 10).retry_after
            for jitter in range(11)
        ]

    below, above, far_above = pauses(20.0), pauses(60.0), pauses(600.0)
    assert min(below) == pytest.approx(0.3)
    assert max(below) < 1.5
    assert min(below) < min(above) < min(far_above)
    assert max(far_above) <= 2.5
    assert len(set(far_above)) == 11


def test_every_account_gets_its_unreserved_share_at_many_entries() -> None:
    """Guards against accounts whose first or only requests are all held back."""
    entries = [UnreservedShares(random.Random(seed)) for seed in range(300)]
    chosen = Counter(
        account
        for entry in entries
        for account, requests in (("small", 1), ("large", 40))
        for _ in range(requests)
        if entry.choose(account, 2)
    )
    assert chosen["small"] >= 0.85 * UNRESERVED_SHARE * 300
    assert chosen["large"] >= 0.98 * UNRESERVED_SHARE * 300 * 40


def test_client_retry_ranks_between_new_requests_and_the_next_retries() -> None:
    """Guards against retries that displace new requests which can be in time."""
    order = [(0, False), (1, False), (0, True), (2, False), (1, True)]
    places = [build_place(priority, retry) for priority, retry in order]
    assert sorted(places) == places


def test_decisions_are_counted_and_an_overload_is_logged_once() -> None:
    """Guards against a log line for each of thousands of refusals."""
    tracker = build_tracker()
    service = DirectService(MODEL, 9, build_engine_profile(), priorities=(0, 2))
    request = build_direct_request(service=service, priority=2)
    refusal = Refuse(ErrorKind.OVERLOADED, "60 requests running", 1.0)
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")
    for now in (1.0, 1.1, 1.2, 4.0):
        claim = tracker.note_arrival(request, build_place(2), now)
        tracker.note_decision(build_place(2), claim, refusal, False, now)
    logger.remove(sink)
    assert [line.split(":")[0] for line in lines] == ["urgency"] * 3
    assert sum("is overloaded" in line for line in lines) == 2
    rendered = tracker.metrics.render().decode()
    assert (
        'decisions_total{decision="refused",priority="2",reason="overloaded"} 4.0'
        in rendered
    )
