"""Entries honour the Retry-After of a target's 503 response."""

from dataclasses import replace

import anyio
import pytest
from direct_builders import run_in_direct_world

from briarthread_common.messages.running_report import RunningReport
from briarthread_entry.direct.reports.peer_reports import PeerReports
from briarthread_standins.direct_config import DIARY
from briarthread_standins.direct_worker import DirectWorker
from briarthread_standins.direct_world import DirectWorld
from briarthread_standins.limit_scenario import LimitScenario, RefusalStep
from briarthread_standins.limit_simulation import simulate_limits

MAX_EARLY_REQUESTS = 2
"""Maximum number of requests that a target may get from one entry during a backoff."""
REFUSAL_START_SECONDS = 4.0


def refusal_steps(targets: int, seconds: float = 8.0) -> tuple[RefusalStep, ...]:
    return (RefusalStep(REFUSAL_START_SECONDS, seconds, targets),)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "day",
    [
        LimitScenario(rate=30.0, steps=refusal_steps(4)),
        LimitScenario(rate=30.0, steps=refusal_steps(12)),
        LimitScenario(rate=30.0, steps=refusal_steps(1), targets=3, service=DIARY),
    ],
    ids=["four-ranks-of-twelve", "all-ranks", "plain"],
)
def test_target_gets_no_requests_during_its_requested_backoff(
    day: LimitScenario, seed: int
) -> None:
    tally = simulate_limits(replace(day, seed=seed))
    assert tally.refusals[0].refused
    assert tally.max_early_requests() <= MAX_EARLY_REQUESTS


def test_callers_are_served_by_other_ranks_during_a_backoff() -> None:
    day = LimitScenario(rate=30.0, steps=refusal_steps(4))
    tally = simulate_limits(day)
    assert set(tally.statuses) <= {200, 503}
    assert tally.statuses[503] <= day.entries


def test_rank_gets_its_share_again_after_the_backoff() -> None:
    tally = simulate_limits(
        LimitScenario(targets=4, rate=30.0, steps=refusal_steps(1, seconds=1.0))
    )
    assert (
        tally.arrivals_per_second(0, REFUSAL_START_SECONDS + 5.0, 24.0)
        >= 0.7 * 30.0 / 4
    )


@pytest.mark.parametrize(
    "day",
    [
        LimitScenario(rate=30.0, seconds=11.0, steps=refusal_steps(12)),
        LimitScenario(
            rate=30.0, seconds=11.0, steps=refusal_steps(3), targets=3, service=DIARY
        ),
    ],
    ids=["ranks", "plain"],
)
def test_callers_are_refused_at_once_while_all_targets_back_off(
    day: LimitScenario,
) -> None:
    tally = simulate_limits(day)
    assert set(tally.statuses) == {200, 503}
    assert tally.slowest_refusal <= 0.25
    assert min(tally.retry_after_seconds) > 0


def test_refused_caller_is_told_when_the_first_backoff_ends() -> None:
    async def scenario(world: DirectWorld) -> None:
        now = anyio.current_time()
        for number, worker in enumerate(diary_workers(world)):
            worker.refusals.refuse(now, now + 60.0, 20.0 + number)
        for _ in range(4):
            await world.call("entry-1", "/list/1", method="GET", body=None)
        asked = anyio.current_time()
        reply = await world.call("entry-1", "/list/1", method="GET", body=None)
        left = now + 20.0 - asked
        assert reply.status == 503
        assert left <= float(reply.headers["retry-after"]) <= left * 1.3

    run_in_direct_world(scenario, ranks=0)


def test_request_waits_for_a_backoff_that_ends_within_its_time_limit() -> None:
    async def scenario(world: DirectWorld) -> None:
        now = anyio.current_time()
        for worker in diary_workers(world):
            worker.refusals.refuse(now, now + 0.05, 0.2)
        for _ in range(3):
            await world.call("entry-1", "/list/1", method="GET", body=None)
        await anyio.sleep(now + 0.15 - anyio.current_time())
        reply = await world.call("entry-1", "/list/1", method="GET", body=None)
        assert reply.status == 200

    run_in_direct_world(scenario, ranks=0)


def test_requested_backoff_counts_neither_as_a_failure_nor_as_a_broken_group() -> None:
    async def scenario(world: DirectWorld) -> None:
        now = anyio.current_time()
        for worker in world.workers.values():
            worker.refusals.refuse(now, now + 0.5, 1.0)
        for _ in range(6):
            await world.call("entry-1", "/list/1", method="GET", body=None)
            await world.call("entry-1", "/chat/1", {"x-token-count": "800,100"})
        entry = world.entries["entry-1"]
        assert all(state.failures == 0 for state in entry.registry.states.values())
        assert all(state.ejections == 0 for state in entry.registry.states.values())
        assert not any(health.broken for health in entry.capacity.healths.values())

    run_in_direct_world(scenario)


def test_backoff_outlasts_the_removal_and_new_listing_of_its_target() -> None:
    async def scenario(world: DirectWorld) -> None:
        now = anyio.current_time()
        refusals = world.workers["diary-0"].refusals
        refusals.refuse(now, now + 30.0, 30.0)
        await world.call("entry-1", "/list/1", method="GET", body=None)
        world.store.delete("servers", "diary-0")
        await anyio.sleep(3.0)
        world.register_worker("diary-0", DIARY)
        await anyio.sleep(3.0)
        for _ in range(20):
            await world.call("entry-1", "/list/1", method="GET", body=None)
        assert len(refusals.refused) == 1

    run_in_direct_world(scenario, ranks=0, diaries=1)


def test_no_limit_token_is_acquired_for_a_target_in_backoff() -> None:
    async def scenario(world: DirectWorld) -> None:
        now = anyio.current_time()
        worker = world.workers["diary-0"]
        worker.rate_limit = "50"
        worker.refusals.refuse(now, now + 5.0, 5.0)
        entry = world.entries["entry-1"]
        await world.call("entry-1", "/list/1", method="GET", body=None)
        granted = entry.metrics.limited_attempts.labels("granted")._value.get()
        for _ in range(10):
            await world.call("entry-1", "/list/1", method="GET", body=None)
        assert entry.metrics.limited_attempts.labels("granted")._value.get() == granted
        assert len(worker.refusals.refused) == 1

    run_in_direct_world(scenario, ranks=0, diaries=1)


@pytest.mark.parametrize("raw", ["soon", "-3", "nan", "", "0"])
def test_invalid_or_zero_retry_after_is_ignored(raw: str) -> None:
    async def scenario(world: DirectWorld) -> None:
        refusals = world.workers["diary-0"].refusals
        refusals.start, refusals.end, refusals.retry_after = 0.0, 1e9, raw
        for _ in range(5):
            await world.call("entry-1", "/list/1", method="GET", body=None)
        assert len(refusals.refused) == 5
        assert world.entries["entry-1"].backoffs.backoffs == {}

    run_in_direct_world(scenario, ranks=0, diaries=1)


def diary_workers(world: DirectWorld) -> list[DirectWorker]:
    return [w for name, w in world.workers.items() if name.startswith("diary")]


@pytest.mark.parametrize("seed", [1, 2])
def test_entries_learn_of_backoffs_from_each_other(seed: int) -> None:
    day = LimitScenario(
        entries=54, rate=70.0, seconds=18.0, steps=refusal_steps(4), seed=seed
    )
    tally = simulate_limits(day)
    assert tally.statuses[503] <= day.entries


def test_backoff_of_another_entry_does_not_close_the_only_target() -> None:
    async def scenario(world: DirectWorld) -> None:
        now = anyio.current_time()
        world.workers["diary-0"].refusals.refuse(now, now + 0.1, 10.0)
        await world.call("entry-1", "/list/1", method="GET", body=None)
        await anyio.sleep(1.0)
        assert world.entries["entry-2"].peer_reports.is_backing_off(
            "diary-0", anyio.current_time()
        )
        reply = await world.call("entry-2", "/list/1", method="GET", body=None)
        assert reply.status == 200

    run_in_direct_world(scenario, ("entry-1", "entry-2"), ranks=0, diaries=1)


def test_reported_backoff_lasts_until_it_expires() -> None:
    reports = PeerReports()
    reports.put("entry-2", RunningReport(backoffs={"t-1": 2.0}), now=10.0)
    reports.put("entry-2", RunningReport(), now=10.5)
    assert reports.is_backing_off("t-1", now=11.9)
    assert not reports.is_backing_off("t-1", now=12.0)
    other_reports = PeerReports()
    other_reports.put("entry-2", RunningReport(backoffs={"t-1": 2.0}), now=10.0)
    assert other_reports.fresh_reports(["entry-2"], now=10.5)[0].backoffs == {
        "t-1": 1.5
    }
