"""Entries and agents serve on while one of their tasks fails for an unknown reason."""

import anyio
import pytest
from builders import run_in_world
from failing_tasks import ALWAYS, fail, make_fail

from briarthread_agent.agent import Agent
from briarthread_common.core.task_failures import MAX_PAUSE_SECONDS, STEADY_SECONDS
from briarthread_entry.entry import Entry
from briarthread_entry.routing.target_state import TargetState
from briarthread_standins.world import World

FAILURES = 3
RECOVERED_SECONDS = MAX_PAUSE_SECONDS + STEADY_SECONDS + 2.0
ENTRY = "entry-palermo-0"
ENTRY_TASKS = ["replicator.run", "watcher.run", "planner.run"]
AGENT_TASKS = [
    "replicator.run",
    "freeze_detector.run",
    "share_manager.run",
    "queue.follow_backoff",
    "map_participant.run",
    "_apply_text_changes",
]


def restart_with_failing_task(
    world: World, name: str, task: str, failures: int
) -> None:
    """Start a process anew; one of its tasks, given by its attributes, fails."""
    world.kill(name)
    *owners, function = task.split(".")
    kind = Entry if world.instances[name].service == "" else Agent
    start = kind.start

    def start_failing(component: Entry | Agent, *arguments: object) -> None:
        owner = component
        for attribute in owners:
            owner = getattr(owner, attribute)
        make_fail(owner, function, failures)
        start(component, *arguments)

    kind.start = start_failing
    world.start(name)
    world.restore = lambda: setattr(kind, "start", start)


async def run_with_failing_task(
    world: World, name: str, task: str, failures: int
) -> Entry | Agent:
    restart_with_failing_task(world, name, task, failures)
    await anyio.sleep(0.01)
    world.restore()
    await anyio.sleep(RECOVERED_SECONDS)
    return world.processes[name].component


async def book(world: World, key: str) -> int:
    reply = await world.call(ENTRY, "diary/b", "salon-0", key, key.encode())
    return reply.status


@pytest.mark.parametrize("task", ENTRY_TASKS)
def test_entry_outlives_failures_of_a_task_while_it_starts(task: str) -> None:
    async def scenario(world: World) -> None:
        entry = await run_with_failing_task(world, ENTRY, task, FAILURES)
        assert entry.ready() == ""
        assert await book(world, "one") == 200
        assert b"task_failures_total{" in entry.metrics.render()

    run_in_world(scenario)


def test_entry_whose_planner_fails_serves_and_is_ready() -> None:
    async def scenario(world: World) -> None:
        entry = await run_with_failing_task(world, ENTRY, "planner.run", ALWAYS)
        assert entry.ready() == ""
        assert await book(world, "one") == 200

    run_in_world(scenario)


def test_entry_that_cannot_read_load_reports_is_not_ready() -> None:
    async def scenario(world: World) -> None:
        entry = await run_with_failing_task(world, ENTRY, "watcher.run", ALWAYS)
        assert entry.ready() == "failing: load-watcher"
        assert entry._status()["failing_tasks"]

    run_in_world(scenario)


def test_error_with_the_reports_of_one_target_takes_only_that_target_out_of_use() -> (
    None
):
    """Guards against a target that stays usable by its last report."""

    async def scenario(world: World) -> None:
        states = world.entry(ENTRY).table.states
        odd, *others = (name for name in states if name.startswith("diary-palermo"))
        watcher = world.entry(ENTRY).watcher
        apply_line = watcher._apply_line

        def apply_or_fail(state: TargetState, line: bytes | None) -> None:
            (fail if state is states[odd] else apply_line)(state, line)

        watcher._apply_line = apply_or_fail
        await anyio.sleep(RECOVERED_SECONDS)
        assert not states[odd].connected
        assert all(states[name].connected for name in others)
        assert await book(world, "one") == 200

    run_in_world(scenario)


@pytest.mark.parametrize("task", AGENT_TASKS)
def test_agent_outlives_failures_of_a_task_while_it_starts(task: str) -> None:
    async def scenario(world: World) -> None:
        for number in range(2):
            name = f"diary-palermo-{number}"
            agent = await run_with_failing_task(world, name, task, FAILURES)
            assert agent.ready() == ""
            assert b"task_failures_total{" in agent.metrics.render()
        await anyio.sleep(RECOVERED_SECONDS)
        reply = await world.call(ENTRY, "diary/b", "salon-0", None, b"one")
        assert reply.status == 200

    run_in_world(scenario)


def test_run_that_fails_has_an_unknown_outcome_and_its_agent_serves_on() -> None:
    """Guards against one request that ends an agent with all that it runs."""

    async def scenario(world: World) -> None:
        agents = [world.agent(name) for name in world.services if "diary" in name]
        clients = [agent.handler.runner.target for agent in agents]
        run = type(clients[0]).run
        for client in clients:
            client.run = fail
        reply = await world.call(ENTRY, "diary/b", "salon-0", "k", b"one")
        assert (reply.status, reply.outcome) == (504, "unknown")
        for client in clients:
            del client.run
        assert clients[0].run.__func__ is run
        again = await world.call(ENTRY, "diary/b", "salon-0", "k", b"one")
        assert (again.status, again.outcome) == (504, "unknown")
        assert world.run_count("one") == 0
        assert await book(world, "two") == 200
        assert all(agent.queue.running == 0 for agent in agents)

    run_in_world(scenario)


def test_agent_whose_hand_over_fails_serves_on_and_refuses_new_attempts() -> None:
    async def scenario(world: World) -> None:
        agent = world.agent("diary-palermo-0")
        agent.share_manager.hand_over_all = fail
        agent._on_target_leaving()
        await anyio.sleep(1.0)
        assert agent.ready() == "draining"
        assert b'task_failures_total{task="hand-over"} 1.0' in agent.metrics.render()
        reply = await world.call(ENTRY, "diary/b", "salon-0", None, b"one")
        assert reply.status == 200

    run_in_world(scenario)
