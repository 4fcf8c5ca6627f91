"""A target that is started anew under its old name is treated as a new target."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec
import pytest
from builders import build_head
from direct_builders import (
    DIARY,
    MODEL,
    build_config,
    build_target,
    run_in_direct_world,
)

from briarthread_common.core.metrics import Metrics
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_common.messages.limit_report import LimitReport
from briarthread_common.messages.running_report import RunningReport, merge_reports
from briarthread_common.messages.token_messages import TokenRequest
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker, RunningRequest
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.direct.reports.peer_reports import PeerReports
from briarthread_entry.direct.targets.standing import Standing
from briarthread_entry.direct.targets.target_runs import MAX_KNOWN_RUNS, TargetRuns
from briarthread_entry.direct.targets.target_state import DirectTargetState
from briarthread_standins.direct_config import HEALTH_PATH, build_service_row
from briarthread_standins.direct_worker import DirectWorker, WorkerFault
from briarthread_standins.direct_world import DirectResponse, DirectWorld

FIRST, SECOND = 1764756000123, 1764756009456
LISTED_SECONDS = 1.0
"""Time in seconds within which entries apply a row."""
STREAM_SIZE = {"x-token-count": "800,100"}


def list_run(
    world: DirectWorld, started_ms: int | None, name: str = "diary-0", **changes: object
) -> None:
    """Write a target's row with the start time of its run."""
    born = {} if started_ms is None else {"born": started_ms}
    row = world.build_row(name, **born, **changes)
    world.store.put("servers", name, row)


async def ask(world: DirectWorld, entry: str = "entry-1") -> DirectResponse:
    return await world.call(entry, "/list/1", method="GET", body=None)


def run_with_listed_target(
    scenario: Callable[[DirectWorld, DirectEntry, DirectWorker], Awaitable[None]],
    entries: tuple[str, ...] = ("entry-1",),
) -> None:
    """Run a scenario with one target whose first run is listed with its start time."""

    async def run(world: DirectWorld) -> None:
        list_run(world, FIRST)
        await anyio.sleep(LISTED_SECONDS)
        await scenario(world, world.entries["entry-1"], world.workers["diary-0"])

    run_in_direct_world(run, entries, ranks=0, diaries=1)


def test_limit_of_the_former_run_is_discarded() -> None:
    """Guards against a limit that the new run never stated."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        worker.rate_limit = "0.1"
        assert (await ask(world)).status == 200
        assert (await ask(world)).status == 503
        worker.rate_limit = None
        assert entry.tokens.denied_until
        assert entry.tokens.issuer.buckets
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        assert not entry.tokens.denied_until
        assert not entry.tokens.issuer.buckets
        assert entry.limits.limit_of("diary-0") is None
        assert [(await ask(world)).status for _ in range(5)] == [200] * 5

    run_with_listed_target(scenario)


def test_backoff_of_the_former_run_is_discarded() -> None:
    """Guards against a new run that is left unused until the old backoff ends."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        now = anyio.current_time()
        worker.refusals.refuse(now, now + 0.1, 60.0)
        assert (await ask(world)).status == 503
        await anyio.sleep(0.2)
        assert (await ask(world)).status == 503
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        assert entry.backoffs.free_attempts("diary-0", anyio.current_time()) is None
        assert (await ask(world)).status == 200

    run_with_listed_target(scenario)


def test_backoff_is_discarded_when_the_target_is_removed_between_its_runs() -> None:
    """Guards against a restart that is missed since the row was absent for a while."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        now = anyio.current_time()
        worker.refusals.refuse(now, now + 0.1, 60.0)
        await ask(world)
        world.store.delete("servers", "diary-0")
        await anyio.sleep(3.0)
        assert "diary-0" not in entry.registry.states
        list_run(world, FIRST)
        await anyio.sleep(LISTED_SECONDS)
        assert (await ask(world)).status == 503
        world.store.delete("servers", "diary-0")
        await anyio.sleep(3.0)
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        assert (await ask(world)).status == 200

    run_with_listed_target(scenario)


def test_announced_shutdown_of_the_former_run_is_discarded_at_all_entries() -> None:
    """Guards against entries that keep each other from using the new run."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        worker.leaving = "1"
        await ask(world)
        await anyio.sleep(LISTED_SECONDS)
        statuses = [(await ask(world, name)).status for name in world.entries]
        assert statuses == [503] * 3
        worker.leaving = None
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        for _ in range(20):
            await anyio.sleep(0.1)
            statuses = [(await ask(world, name)).status for name in world.entries]
            assert statuses == [200] * 3

    run_with_listed_target(scenario, ("entry-1", "entry-2", "entry-3"))


def test_ejection_failures_and_response_times_of_the_former_run_are_discarded() -> None:
    """Guards against a new run that is judged by the performance of the old one."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        worker.delay = 1.0
        await ask(world)
        worker.faults = [WorkerFault.SERVER_ERROR] * 3
        for _ in range(3):
            await ask(world)
        former = entry.registry.states["diary-0"]
        assert former.response_seconds.samples
        assert former.failures + former.ejections
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        state = entry.registry.states["diary-0"]
        assert state is not former
        assert not state.response_seconds.samples
        assert not state.failure_share.samples
        assert (state.failures, state.ejections, state.ejected_until) == (0, 0, 0.0)

    run_with_listed_target(scenario)


def test_restarted_target_that_was_replaced_at_its_address_is_used() -> None:
    """Guards against a refusal with 421 that outlasts the run it was about."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        worker.name = "other"
        await ask(world)
        await anyio.sleep(0.1)
        state = entry.registry.states["diary-0"]
        assert entry.registry.standing(state) is Standing.EXCLUDED
        worker.name = "diary-0"
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        assert (await ask(world)).status == 200

    run_with_listed_target(scenario)


def test_restarted_target_does_not_count_as_running_a_suspect_request() -> None:
    """Guards against a new run that other requests avoid, and against its count."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        crashes, now = entry.crashes, anyio.current_time()
        crashes.note_start(RunningRequest("d", "diary-0", FIRST))
        crashes.note_crash("d", "elsewhere", now - 0.2, now)
        assert crashes.suspect_targets() == {"diary-0"}
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        assert crashes.suspect_targets() == set()
        crashes.note_start(RunningRequest("d", "diary-0", SECOND))
        crashes.note_end(RunningRequest("d", "diary-0", FIRST))
        assert crashes.suspect_targets() == {"diary-0"}
        crashes.note_end(RunningRequest("d", "diary-0", SECOND))
        assert not crashes.running

    run_with_listed_target(scenario)


def test_restarted_target_is_assumed_cold_before_its_first_request() -> None:
    """Guards against a burst at a target that has just been started."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        reported: list[tuple[list[str], bool]] = []
        entry.registry.on_restarted = lambda names: reported.append(
            (list(names), entry.registry.states["diary-0"].running == 0)
        )
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        list_run(world, SECOND, slots=3)
        await anyio.sleep(LISTED_SECONDS)
        assert reported == [(["diary-0"], True)]

    run_with_listed_target(scenario)


def test_restart_is_counted() -> None:
    """Guards against restarts that the operator cannot see."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        registry = entry.metrics.registry
        assert registry.get_sample_value("briarthread_target_restarts_total") == 1.0

    run_with_listed_target(scenario)


@pytest.mark.parametrize(
    ("starts", "restarts"),
    [
        ((None, None), 0),
        ((None, FIRST), 0),
        ((FIRST, None), 0),
        ((FIRST, None, FIRST), 0),
        ((FIRST, FIRST), 0),
        ((FIRST, SECOND), 1),
        ((SECOND, FIRST), 1),
        ((FIRST, None, SECOND), 1),
        ((FIRST, SECOND, FIRST), 2),
    ],
)
def test_only_another_start_time_means_a_restart(
    starts: tuple[int | None, ...], restarts: int
) -> None:
    """Guards against resets by rows without a start time and by wall clocks."""
    runs = TargetRuns(Metrics())
    noted = [
        runs.note(build_target(started_ms=started), now=float(number))
        for number, started in enumerate(starts)
    ]
    assert sum(noted) == restarts


def test_rows_without_a_start_time_keep_what_is_known() -> None:
    """Guards against a change for platforms that state no start times."""

    async def scenario(world: DirectWorld) -> None:
        entry, worker = world.entries["entry-1"], world.workers["diary-0"]
        worker.rate_limit = "50"
        await ask(world)
        state = entry.registry.states["diary-0"]
        list_run(world, None, slots=5, coldLeftMs=100)
        await anyio.sleep(LISTED_SECONDS)
        assert entry.registry.states["diary-0"] is state
        assert state.target.slots == 5
        assert entry.limits.limit_of("diary-0") == 50.0
        assert "starts" not in msgspec.json.decode(msgspec.json.encode(entry._report()))

    run_in_direct_world(scenario, ranks=0, diaries=1)


FORMER_REPORT = RunningReport(
    limits={"t-1": LimitReport(0.1, 0.5)},
    leaving=("t-1",),
    backoffs={"t-1": 60.0},
    starts={"t-1": FIRST},
)


def reports_after_restart(restarted_at: float) -> PeerReports:
    """Return the reports of an entry that has seen a target restart."""
    runs = TargetRuns(Metrics())
    runs.note(build_target(started_ms=FIRST), now=0.0)
    runs.note(build_target(started_ms=SECOND), now=restarted_at)
    return PeerReports(runs=runs)


def knows_anything(reports: PeerReports, now: float) -> bool:
    return (
        reports.limits.limit_of("t-1") is not None
        or reports.leaving_targets.is_leaving("t-1")
        or reports.is_backing_off("t-1", now)
    )


def test_late_report_on_the_former_run_is_ignored_and_not_passed_on() -> None:
    """Guards against another entry that restores what was discarded."""
    reports = reports_after_restart(10.0)
    reports.put("entry-2", FORMER_REPORT, now=11.0)
    assert not knows_anything(reports, 11.0)
    passed_on = reports.sum_without("entry-3", RunningReport(), now=11.1)
    assert not passed_on.limits
    assert not passed_on.leaving
    assert not passed_on.backoffs
    block = merge_reports(reports.fresh_reports(["entry-2"], 11.1))
    assert not block.limits
    assert reports.runs.metrics.registry.get_sample_value(
        "briarthread_former_run_reports_total", {"kind": "limit"}
    )


def test_report_on_the_current_run_is_kept_and_passed_on_with_its_start() -> None:
    """Guards against limits of the new run that are lost with those of the old one."""
    reports = reports_after_restart(10.0)
    current = msgspec.structs.replace(FORMER_REPORT, starts={"t-1": SECOND})
    reports.put("entry-2", current, now=10.2)
    assert reports.limits.limit_of("t-1") == 0.1
    assert reports.leaving_targets.is_leaving("t-1")
    passed_on = reports.sum_without("entry-3", RunningReport(), now=10.3)
    assert passed_on.starts == {"t-1": SECOND}
    assert passed_on.leaving == ("t-1",)
    block = merge_reports(reports.fresh_reports(["entry-2"], 10.3))
    assert block.starts == {"t-1": SECOND}


def test_collector_states_the_start_of_the_current_run_among_late_reports() -> None:
    """Guards against a sum whose limits are tagged with the former run of an entry."""
    reports = reports_after_restart(10.0)
    reports.put("entry-2", FORMER_REPORT, now=10.2)
    own = msgspec.structs.replace(FORMER_REPORT, starts={"t-1": SECOND})
    assert reports.sum_without("entry-3", own, now=10.3).starts == {"t-1": SECOND}
    block = merge_reports([own, *reports.fresh_reports(["entry-2"], 10.3)])
    assert block.starts == {"t-1": SECOND}


def test_received_report_on_the_former_run_is_dropped_at_the_restart() -> None:
    """Guards against a collector that passes on what it received before."""
    runs = TargetRuns(Metrics())
    reports = PeerReports(runs=runs)
    runs.note(build_target(started_ms=FIRST), now=0.0)
    reports.put("entry-2", FORMER_REPORT, now=9.0)
    assert knows_anything(reports, 9.0)
    runs.note(build_target(started_ms=SECOND), now=10.0)
    reports.discard_former_runs(["t-1"])
    assert not reports.is_backing_off("t-1", 10.0)
    passed_on = reports.sum_without("entry-3", RunningReport(), now=10.0)
    assert not passed_on.limits
    assert not passed_on.leaving
    assert not passed_on.backoffs


def keep_list(entry: DirectEntry) -> None:
    """Keep an entry from receiving later versions of the list of targets."""
    feed = Feed("targets")
    feed.install(FeedPatch("targets", 0, 1, dict(entry.feeds.targets.items)))
    entry.registry.feed = feed


def test_entry_that_has_not_seen_the_restart_does_not_restore_its_knowledge() -> None:
    """Guards against reports on the former run that were received or come later."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        late = world.entries["entry-2"]
        keep_list(late)
        now = anyio.current_time()
        worker.refusals.refuse(now, now + 0.1, 60.0)
        worker.leaving, worker.rate_limit = "1", "0.1"
        await ask(world, "entry-2")
        worker.leaving, worker.rate_limit = None, None
        await anyio.sleep(LISTED_SECONDS)
        reports = entry.peer_reports
        assert reports.is_backing_off("diary-0", anyio.current_time())
        assert (await ask(world)).status == 503
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        for _ in range(20):
            await anyio.sleep(0.1)
            assert late.registry.states["diary-0"].target.started_ms == FIRST
            assert not reports.is_backing_off("diary-0", anyio.current_time())
            assert entry.limits.limit_of("diary-0") is None
            assert (await ask(world)).status == 200

    run_with_listed_target(scenario, ("entry-1", "entry-2"))


def test_shutdown_announced_by_the_new_run_is_reported_to_other_entries() -> None:
    """Guards against reports after a restart that are all taken for late ones."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        worker.leaving = "1"
        await ask(world)
        await anyio.sleep(LISTED_SECONDS)
        assert (await ask(world, "entry-2")).status == 503

    run_with_listed_target(scenario, ("entry-1", "entry-2"))


def test_report_of_an_entry_of_the_previous_version_counts_by_its_age() -> None:
    """Guards against untagged reports that restore or lose what is known."""
    untagged = msgspec.structs.replace(FORMER_REPORT, starts={})
    reports = reports_after_restart(10.0)
    reports.put("entry-2", untagged, now=10.4)
    assert not knows_anything(reports, 10.4)
    reports.put("entry-2", untagged, now=10.6)
    assert reports.limits.limit_of("t-1") == 0.1
    never_restarted = PeerReports()
    never_restarted.put("entry-2", untagged, now=10.4)
    assert never_restarted.leaving_targets.is_leaving("t-1")
    assert never_restarted.is_backing_off("t-1", 10.4)


def test_report_with_another_start_time_is_sent_at_once() -> None:
    """Guards against a shutdown of the new run that looks like the one reported."""
    other = msgspec.structs.replace(FORMER_REPORT, starts={"t-1": SECOND})
    assert FORMER_REPORT.same_as(msgspec.structs.replace(FORMER_REPORT))
    assert not FORMER_REPORT.same_as(other)


def test_previous_version_understands_reports_and_token_requests() -> None:
    """Guards against fields without which a message cannot be read, or with which."""

    class FormerReport(msgspec.Struct):
        leaving: tuple[str, ...] = ()

    class FormerRequest(msgspec.Struct):
        asker: str
        target: str
        word: LimitReport
        wait: float = 0.0

    raw = msgspec.json.encode(FORMER_REPORT)
    assert msgspec.json.decode(raw, type=FormerReport).leaving == ("t-1",)
    request = TokenRequest("entry-2", "t-1", LimitReport(2.0), 0.1, started_ms=FIRST)
    raw = msgspec.json.encode(request)
    former = msgspec.json.decode(raw, type=FormerRequest)
    assert (former.target, former.wait) == ("t-1", 0.1)
    raw = msgspec.json.encode(former)
    assert msgspec.json.decode(raw, type=TokenRequest).started_ms is None


def test_token_request_for_the_former_run_is_denied_and_restores_no_limit() -> None:
    """Guards against an entry that has not seen the restart yet."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        limit = LimitReport(50.0, 1.5)
        for started in (FIRST, None):
            request = TokenRequest("entry-2", "diary-0", limit, 1.0, started_ms=started)
            answer = await entry.tokens._handle_request(request)
            assert answer.granted == (started is None)
            assert entry.limits.limit_of("diary-0") is None
        request = TokenRequest("entry-2", "diary-0", limit, 1.0, started_ms=SECOND)
        assert (await entry.tokens._handle_request(request)).granted
        assert entry.limits.limit_of("diary-0") == 50.0

    run_with_listed_target(scenario)


def test_denial_that_arrives_after_the_restart_is_not_kept() -> None:
    """Guards against a token request for the former run that delays the new one."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        now = anyio.current_time()
        entry.limits.note_response("diary-0", "0.1", now, now)
        former = entry.registry.states["diary-0"].target
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        now = anyio.current_time()
        entry.limits.note_response("diary-0", "0.1", now, now)
        assert not await entry.tokens.acquire(former, 0.0)
        assert not entry.tokens.denied_until
        current = entry.registry.states["diary-0"].target
        assert not await entry.tokens.acquire(current, 0.0)
        assert entry.tokens.denied_until

    run_with_listed_target(scenario)


@pytest.mark.parametrize("statement", ["limit", "leaving", "failure"])
def test_response_of_the_former_run_after_the_restart_is_not_recorded(
    statement: str,
) -> None:
    """Guards against a running attempt whose response is taken for the new run's."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        worker.delay = 3.0
        former = entry.registry.states["diary-0"]
        replies: list[DirectResponse] = []

        async def call() -> None:
            replies.append(await ask(world))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.sleep(0.5)
            assert former.running == 1
            list_run(world, SECOND)
            await anyio.sleep(LISTED_SECONDS)
            assert entry.registry.states["diary-0"].running == 0
            assert former.running == 1
            if statement == "limit":
                worker.rate_limit = "0.1"
            elif statement == "leaving":
                worker.leaving = "1"
            else:
                worker.faults = [WorkerFault.SERVER_ERROR]
        assert replies
        assert entry.events.events_for(f"request-{world.request_count}")
        decisions = {e.decision for e in entry.events.events_for("diary-0")}
        assert "former-run" in decisions
        state = entry.registry.states["diary-0"]
        assert entry.limits.limit_of("diary-0") is None
        assert not entry.leaving_targets.own
        assert not state.response_seconds.samples
        assert not state.failure_share.samples

    run_with_listed_target(scenario)


def test_backoff_requested_by_the_former_run_after_the_restart_is_ignored() -> None:
    """Guards against a refusal in transit that closes the new run."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        former = entry.registry.states["diary-0"]
        list_run(world, SECOND)
        await anyio.sleep(LISTED_SECONDS)
        current = entry.registry.states["diary-0"]
        head = build_head(503, ("retry-after", "30"))
        for state, expected in ((former, False), (current, True)):
            now = anyio.current_time()
            with state.unanswered.attempt(now) as number:
                entry.runner.sender._record_head(state, head, now, number)
            assert entry.backoffs.is_active("diary-0", now) == expected

    run_with_listed_target(scenario)


def test_lost_connection_of_the_former_run_does_not_eject_the_new_one() -> None:
    """
    The request keeps its strike, and no response of the new run withdraws it.

    Guards against failures of attempts at the former run that count against the new
    one, and against a request that crashes targets that restart under their names.
    """

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        worker.faults = [WorkerFault.LOSE_RESPONSE] * 4
        worker.delay = 2.0
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(world.call, "entry-1", "/book/1")
            await anyio.sleep(0.5)
            list_run(world, SECOND)
            await anyio.sleep(LISTED_SECONDS)
            worker.delay = 0.02
        state = entry.registry.states["diary-0"]
        assert (state.failures, state.ejections) == (0, 0)
        decisions = {e.decision for e in entry.events.events_for("diary-0")}
        assert "target-ejected" not in decisions
        assert len(entry.crashes.strikes) == 1
        worker.faults = []
        assert (await ask(world)).status == 200
        assert len(entry.crashes.strikes) == 1

    run_with_listed_target(scenario)


def test_connection_lost_by_a_run_that_was_leaving_is_no_crash() -> None:
    """Guards against a strike since the announcement was discarded at the restart."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        worker.faults = [WorkerFault.LOSE_RESPONSE]
        worker.delay = 2.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.call, "entry-1", "/book/1")
            await anyio.sleep(0.5)
            entry.leaving_targets.note_leaving("diary-0")
            list_run(world, SECOND)
            await anyio.sleep(LISTED_SECONDS)
        assert not entry.crashes.strikes
        assert not entry.leaving_targets.own

    run_with_listed_target(scenario)


def test_strike_is_withdrawn_by_a_response_of_the_same_run_only() -> None:
    """Guards against a restart within a second that hides a crash."""
    tracker = CrashTracker()
    tracker.note_crash("d", "t-1", 1.0, 1.1, FIRST)
    tracker.note_alive("t-1", 1.3, SECOND)
    assert tracker.crash_count("d") == 1
    tracker.note_alive("t-1", 1.3, FIRST)
    assert tracker.crash_count("d") == 0


def test_state_of_a_former_run_accepts_no_requests() -> None:
    """Guards against an attempt that was chosen before the restart."""
    state = DirectTargetState(build_target())
    assert state.is_usable()
    state.ended = True
    assert not state.is_usable()


def test_stream_continues_after_its_rank_is_listed_as_another_run() -> None:
    """Guards against running attempts that are aborted by a row."""

    async def scenario(world: DirectWorld) -> None:
        list_run(world, FIRST, "rank-0", service=MODEL)
        await anyio.sleep(LISTED_SECONDS)
        world.workers["rank-0"].event_interval = 0.5
        replies: list[DirectResponse] = []

        async def call() -> None:
            replies.append(await world.call("entry-1", "/chat/1", STREAM_SIZE))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.sleep(0.7)
            list_run(world, SECOND, "rank-0", service=MODEL)
        assert replies[0].event_ids == list(range(1, 7))
        assert len(world.workers["rank-0"].arrivals) == 1

    run_in_direct_world(scenario, ranks=1, diaries=0)


def test_number_of_known_runs_is_bounded() -> None:
    """Guards against memory that grows with each target that was ever listed."""
    runs = TargetRuns(Metrics())
    for number in range(MAX_KNOWN_RUNS + 10):
        runs.note(build_target(f"t-{number}", started_ms=FIRST), 0.0)
    runs.note(build_target("t-5", started_ms=SECOND), 1.0)
    runs.prune({"t-1"})
    assert runs.starts == {"t-1": FIRST}
    assert not runs.restarted_at


def test_target_whose_address_a_new_target_lists_gets_nothing_more() -> None:
    """Guards against attempts at the former rows of targets that all lost power."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        worker.name = "diary-0b"
        world.store.put("servers", "diary-0b", world.build_row("diary-0"))
        await anyio.sleep(LISTED_SECONDS)
        assert (await ask(world)).status == 200
        assert [
            headers["x-expect-instance"] for headers in worker.received_headers
        ] == ["diary-0b"]
        usable = entry.registry.available_targets(DIARY, anyio.current_time())
        assert [state.target.name for state in usable] == ["diary-0b"]

    run_with_listed_target(scenario)


@pytest.mark.parametrize(
    ("health_path", "used"),
    [("", {"diary-0", "diary-0b"}), (HEALTH_PATH, {"diary-0"})],
)
def test_targets_first_listed_together_at_one_address_are_used_unless_checked(
    health_path: str, used: set[str]
) -> None:
    """Guards against a choice without proof between rows of which neither is newer."""

    async def scenario(
        world: DirectWorld, entry: DirectEntry, worker: DirectWorker
    ) -> None:
        services = [build_service_row(DIARY, healthPath=health_path)]
        world.store.put("op", "config", build_config(version=2, services=services))
        world.store.put("servers", "diary-0b", world.build_row("diary-0"))
        await anyio.sleep(LISTED_SECONDS)
        restarted = world.add_entry("entry-2")
        await anyio.sleep(2 * LISTED_SECONDS)
        usable = restarted.registry.available_targets(DIARY, anyio.current_time())
        assert {state.target.name for state in usable} == used

    run_with_listed_target(scenario)
