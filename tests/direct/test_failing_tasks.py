"""Entries and agents beside direct targets serve on while one of their tasks fails."""

from collections.abc import Awaitable, Callable

import anyio
import pytest
from direct_builders import (
    DIARY,
    build_config,
    build_route_row,
    run_in_direct_world,
    run_in_group_world,
)
from failing_tasks import ALWAYS, collecting_logs, fail, make_fail

from briarthread_common.core.task_failures import MAX_PAUSE_SECONDS, STEADY_SECONDS
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_platform.adapter import ADAPTER
from briarthread_standins.direct_agents import GroupWorld
from briarthread_standins.direct_world import START_SECONDS, DirectWorld

FAILURES = 3
RECOVERED_SECONDS = MAX_PAUSE_SECONDS + STEADY_SECONDS + START_SECONDS
ESSENTIAL_TASKS = ["replicator.run", "routes.follow", "registry.follow"]
OTHER_TASKS = [
    "checker.run",
    "running_watcher.run",
    "group_watcher.run",
    "slow_ranks.run",
    "issuer_members.follow",
    "runner.silent_attempts.run",
    "blocklist.run",
    "registration.run",
]
AGENT_TASKS = [
    "replicator.run",
    "_maintain_registration",
    "controller.poll_counts",
    "recovery.run",
    "planner.run",
]


def make_task_fail(component: object, task: str, failures: int) -> None:
    """Make one of a component's tasks fail, given by its attributes."""
    *owners, name = task.split(".")
    for owner in owners:
        component = getattr(component, owner)
    make_fail(component, name, failures)


async def status_of(world: DirectWorld, entry: str = "entry-1") -> int:
    return (await world.call(entry, "/book/1")).status


@pytest.mark.parametrize("task", [*ESSENTIAL_TASKS, "evacuations.follow", *OTHER_TASKS])
def test_entry_outlives_failures_of_a_task_while_it_starts(task: str) -> None:
    """Guards against entries that one unknown error ends at each start."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.add_entry("entry-2")
        make_task_fail(entry, task, FAILURES)
        await anyio.sleep(RECOVERED_SECONDS)
        assert await status_of(world, "entry-2") == 200
        assert entry.ready() == ""
        text = entry.metrics.render().decode()
        counted = [line for line in text.splitlines() if "task_failures_total{" in line]
        assert [line.rpartition(" ")[2] for line in counted] == [f"{FAILURES}.0"]

    run_in_direct_world(scenario)


@pytest.mark.parametrize("task", OTHER_TASKS)
def test_entry_without_a_task_that_is_not_essential_serves_and_is_ready(
    task: str,
) -> None:
    async def scenario(world: DirectWorld) -> None:
        entry = world.add_entry("entry-2")
        make_task_fail(entry, task, ALWAYS)
        await anyio.sleep(RECOVERED_SECONDS)
        assert await status_of(world, "entry-2") == 200
        assert entry.ready() == ""
        assert len(entry._status()["failing_tasks"]) == 1

    run_in_direct_world(scenario)


class FailingAdapter:
    """Decode like the platform's adapter, but fail in one function."""

    def __init__(self, function: str) -> None:
        self.function = function

    def __getattr__(self, name: str) -> object:
        return fail if name == self.function else getattr(ADAPTER, name)


def fail_to_replicate(entry: DirectEntry) -> Callable[[], None]:
    entry.feeds.by_name = fail
    return lambda: vars(entry.feeds).pop("by_name")


def fail_to_decode_routes(entry: DirectEntry) -> Callable[[], None]:
    entry.routes.adapter = FailingAdapter("decode_routes")
    return lambda: setattr(entry.routes, "adapter", ADAPTER)


def fail_to_decode_evacuations(entry: DirectEntry) -> Callable[[], None]:
    entry.evacuations.adapter = FailingAdapter("decode_evacuated")
    return lambda: setattr(entry.evacuations, "adapter", ADAPTER)


def fail_to_apply_targets(entry: DirectEntry) -> Callable[[], None]:
    entry.registry.on_applied = fail
    return lambda: setattr(entry.registry, "on_applied", lambda: None)


@pytest.mark.parametrize(
    ("cause", "task"),
    [
        (fail_to_replicate, "replication"),
        (fail_to_decode_routes, "configuration"),
        (fail_to_decode_evacuations, "evacuations"),
        (fail_to_apply_targets, "targets"),
    ],
)
def test_entry_without_an_essential_task_serves_what_it_knows_but_is_not_ready(
    cause: Callable[[DirectEntry], Callable[[], None]], task: str
) -> None:
    """Guards against an entry that serves by old rows and says that it is ready."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        end_cause = cause(entry)
        routes = [build_route_row("/new/", DIARY, "safe", maxAttempts=1)]
        world.store.put("op", "config", build_config(version=2, routes=routes))
        world.add_worker("diary-new", DIARY)
        await anyio.sleep(RECOVERED_SECONDS)
        assert entry.ready() == f"failing: {task}"
        known = "/new/1" if task == "targets" else "/book/1"
        if task == "evacuations":
            known = "/new/1"
        assert (await world.call("entry-1", known)).status == 200
        end_cause()
        await anyio.sleep(MAX_PAUSE_SECONDS + 1.0)
        assert (await world.call("entry-1", "/new/1")).status == 200
        assert "diary-new" in entry.registry.states
        await anyio.sleep(STEADY_SECONDS)
        assert entry.ready() == ""

    run_in_direct_world(scenario)


def test_row_that_fails_for_an_unknown_reason_is_ignored_like_an_invalid_one() -> None:
    """Guards against one row that keeps all others from use."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        decode = ADAPTER.decode_target

        class OddAdapter(FailingAdapter):
            def decode_target(self, name: str, raw: str) -> object:
                return fail() if name == "diary-odd" else decode(name, raw)

        entry.registry.adapter = OddAdapter("")
        world.add_worker("diary-odd", DIARY)
        world.add_worker("diary-late", DIARY)
        await anyio.sleep(RECOVERED_SECONDS)
        assert await status_of(world) == 200
        assert "diary-late" in entry.registry.states
        assert "diary-odd" not in entry.registry.states
        assert entry.ready() == ""

    with collecting_logs() as lines:
        run_in_direct_world(scenario)
    assert sum("tasks: target-row failed" in line for line in lines) == 1


def test_entry_that_cannot_follow_the_list_issues_no_tokens() -> None:
    """Guards against two issuers that take the same place in the order."""

    async def scenario(world: DirectWorld) -> None:
        entry = world.entries["entry-1"]
        members = entry.issuer_members
        await anyio.sleep(30.0)
        assert members.may_issue(anyio.current_time())
        members.directory.of_role = fail
        world.add_entry("entry-2")
        await anyio.sleep(5.0)
        assert not members.may_issue(anyio.current_time())
        del members.directory.of_role
        await anyio.sleep(5.0)
        assert not members.may_issue(anyio.current_time())
        await anyio.sleep(30.0)
        assert members.may_issue(anyio.current_time())

    run_in_direct_world(scenario)


def test_error_with_the_reports_of_one_entry_leaves_those_of_the_others() -> None:
    async def scenario(world: DirectWorld) -> None:
        reports = world.entries["entry-1"].peer_reports
        put = reports.put
        sources: list[str] = []

        def put_or_fail(source: str, *arguments: object) -> None:
            if source == sources_of[0]:
                fail()
            sources.append(source)
            put(source, *arguments)

        sources_of = sorted(reports.received)
        assert len(sources_of) == 2
        reports.put = put_or_fail
        await anyio.sleep(RECOVERED_SECONDS)
        assert set(sources) == {sources_of[1]}
        assert len(sources) > RECOVERED_SECONDS / 2

    run_in_direct_world(scenario, entries=("entry-1", "entry-2", "entry-3"))


@pytest.mark.parametrize("path", ["/book/1", "/list/1", "/chat/1"])
def test_request_that_fails_costs_only_its_own_answer(path: str) -> None:
    """Guards against requests that end silently or take their entry with them."""

    async def scenario(world: DirectWorld) -> None:
        runner = world.entries["entry-1"].runner
        headers = {"x-token-count": "9,9"} if path == "/chat/1" else {}
        runner.run = fail
        reply = await world.call("entry-1", path, headers)
        assert reply.status == 500
        assert reply.headers["briarthread-outcome"] == "unknown"
        del runner.run
        assert (await world.call("entry-1", path, headers)).status == 200

    run_in_direct_world(scenario)


def run_with_failing_agents(
    task: str, failures: int, scenario: Callable[[GroupWorld], Awaitable[None]]
) -> None:
    """Run a scenario in which a task of all agents fails when they are started anew."""

    async def start_failing(world: GroupWorld) -> None:
        for number in range(world.ranks):
            world.kill_agent(number)
            make_task_fail(world.start_agent(number), task, failures)
        await scenario(world)

    run_in_group_world(start_failing)


@pytest.mark.parametrize("task", AGENT_TASKS)
def test_agents_outlive_failures_of_a_task_and_their_group_gets_a_map(
    task: str,
) -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(RECOVERED_SECONDS)
        assert len(world.agents) == world.ranks
        assert world.planner() is not None
        for agent in world.agents.values():
            assert agent._ready() == ""
            assert b"task_failures_total{" in agent.metrics.render()

    run_with_failing_agents(task, FAILURES, scenario)


def test_planner_role_of_an_agent_that_cannot_plan_passes_to_another() -> None:
    async def scenario(world: GroupWorld) -> None:
        await anyio.sleep(RECOVERED_SECONDS)
        former = world.planner()
        assert former is not None
        world.agents[former].planner._poll = fail
        await anyio.sleep(RECOVERED_SECONDS)
        holders = [
            number
            for number, agent in world.agents.items()
            if agent.planner.role.is_held()
        ]
        assert holders and former not in holders

    run_in_group_world(scenario)
