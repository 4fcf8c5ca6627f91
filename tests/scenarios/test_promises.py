"""The scenarios of promises.feature, in virtual time."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio
import msgspec
import pytest
from builders import START_SECONDS, build_text, build_world
from fuzz.map_machine import CONFIRM_PATH, CONFIRM_SECONDS, GROUP_TEXT, RANKS
from live_world import LiveWorld
from pytest_bdd import given, parsers, scenarios, then, when

from briarthread_common.messages.expert_map import round_robin_map
from briarthread_common.text.text_store import Accepted, ApplyResult
from briarthread_entry.maps.coordinator import Coordinator
from briarthread_standins.rank_group import RankGroup
from briarthread_standins.world import CallerResponse, World

scenarios("promises.feature")

DATA_CENTRES = ("palermo", "catania")
ENTRY, OTHER_ENTRY = "entry-palermo-0", "entry-catania-0"
NEW_MAP = 7


@dataclass
class ScenarioState:
    """State that the steps of a scenario share."""

    live_world: LiveWorld | None = None
    group: RankGroup | None = None
    responses: dict[str, CallerResponse] = field(default_factory=dict)
    apply_results: list[ApplyResult] = field(default_factory=list)
    observed_versions: dict[str, list[int]] = field(default_factory=dict)
    runs_before: int = 0

    @property
    def world(self) -> World:
        return self.live_world.world

    async def book(
        self,
        name: str,
        entry: str = ENTRY,
        account: int = 0,
        key: str | None = None,
        service: str = "diary",
        timeout: float = 5.0,
    ) -> None:
        """Send one booking and record the response under a name."""
        self.responses[name] = await self.world.call(
            entry,
            f"{service}/x",
            f"salon-{account}",
            key,
            name.encode(),
            timeout=timeout,
        )


@pytest.fixture
def state() -> Iterator[ScenarioState]:
    state = ScenarioState()
    yield state
    state.live_world.close()


@given("two data centres")
def two_data_centres(state: ScenarioState) -> None:
    async def build(tasks: anyio.abc.TaskGroup) -> World:
        world = build_world(tasks, 0, DATA_CENTRES)
        await anyio.sleep(1)
        await world.apply(build_text(DATA_CENTRES))
        await anyio.sleep(START_SECONDS)
        return world

    state.live_world = LiveWorld(build)


@given("a group of three ranks")
def group_of_three(state: ScenarioState) -> None:
    async def build(tasks: anyio.abc.TaskGroup) -> World:
        world = World(tasks, 0)
        world.add_entry("entry-0", DATA_CENTRES[0])
        state.group = world.add_group(list(RANKS), DATA_CENTRES[0], "assistant", True)
        await anyio.sleep(1)
        await world.apply(build_text((DATA_CENTRES[0],), more=GROUP_TEXT))
        await anyio.sleep(8)
        return world

    state.live_world = LiveWorld(build)


@when("a planner dies after one rank received its confirmation")
def planner_dies(state: ScenarioState) -> None:
    world = state.world
    world.network.late_seconds = 10_000
    for name in RANKS[1:]:
        world.network.delayed_calls[
            f"{CONFIRM_PATH}@{world.instances[name].address}"
        ] = 9

    async def activate_map() -> None:
        entry = world.entry("entry-0")
        coordinator = Coordinator(
            world.network.channel("planner", "planner"), entry.directory, entry.events
        )
        group = entry.text.current().groups["experts"]
        with anyio.move_on_after(CONFIRM_SECONDS):
            await coordinator.activate(
                group, round_robin_map(NEW_MAP, 1, 8, len(RANKS)), 1
            )

    state.live_world.run(activate_map())


@when("that rank is frozen before the others query it")
def rank_frozen(state: ScenarioState) -> None:
    address = state.world.instances[RANKS[0]].address
    state.live_world.call(state.world.network.freeze, address, True)
    state.live_world.advance(5.0)


@then("the group waits")
def group_waits(state: ScenarioState) -> None:
    before = state.group.step
    state.live_world.advance(5.0)
    assert state.group.step == before


@when("all faults are removed")
def remove_all_faults(state: ScenarioState) -> None:
    world = state.world
    for row in world.instances.values():
        state.live_world.call(world.network.freeze, row.address, False)
    state.live_world.call(world.network.heal)


@then("the group steps on the new map")
def group_steps(state: ScenarioState) -> None:
    before = state.group.step
    state.live_world.advance(5.0)
    assert state.group.step > before
    assert {engine.version for engine in state.group.engines} == {NEW_MAP}


@then("no step had more than one map")
def no_mismatch(state: ScenarioState) -> None:
    assert state.group.mismatches == []


@when("two callers of different accounts book at once with the same key")
def same_key_two_accounts(state: ScenarioState) -> None:
    async def both() -> None:
        async with anyio.create_task_group() as tasks:
            for account in (0, 1):
                tasks.start_soon(
                    state.book, f"caller-{account}", ENTRY, account, "same"
                )

    state.live_world.run(both())


@then("each gets the response to its own booking")
def own_responses(state: ScenarioState) -> None:
    assert len(state.responses) == 2
    for name, response in state.responses.items():
        assert msgspec.json.decode(response.body)["body"] == name


@given("the targets of one data centre are full")
def targets_full(state: ScenarioState) -> None:
    for name, service in state.world.services.items():
        if name.startswith("diary-palermo"):
            service.delay = 0.5


@when("many callers book there with a short timeout")
def book_with_short_timeout(state: ScenarioState) -> None:
    async def book_many() -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(100):
                key = f"k{number}" if number % 2 else None
                tasks.start_soon(state.book, f"b{number}", ENTRY, 0, key, "diary", 1.2)

    state.live_world.run(book_many())
    state.live_world.advance(30.0)


@then("every booking reported as not-run has not run")
def reported_not_run_did_not_run(state: ScenarioState) -> None:
    for name, response in state.responses.items():
        if response.outcome == "not-run":
            assert state.world.run_count(name) == 0


@then("some were reported as not-run, with a Retry-After")
def some_reported_not_run(state: ScenarioState) -> None:
    not_run = [
        response
        for response in state.responses.values()
        if response.outcome == "not-run"
    ]
    assert not_run
    assert all(int(response.headers["retry-after"]) >= 1 for response in not_run)


@when("a booking is made and its holder is killed and replaced")
def holder_replaced(state: ScenarioState) -> None:
    state.live_world.run(state.book("booking", key="k"))
    holder = next(n for n, s in state.world.services.items() if s.runs["booking"])
    state.live_world.call(state.world.kill, holder)
    state.live_world.call(state.world.start, holder)
    state.live_world.advance(4.0)


@when("the same booking is retried through the other data centre")
def booking_retried(state: ScenarioState) -> None:
    state.live_world.run(state.book("booking", OTHER_ENTRY, key="k"))


@then("the response says that the outcome is unknown")
def outcome_unknown(state: ScenarioState) -> None:
    assert state.responses["booking"].outcome == "unknown"


@then("the booking ran once")
def ran_once(state: ScenarioState) -> None:
    assert state.world.run_count("booking") == 1


@when("the platform's list says that a target leaves")
def target_marked_as_leaving(state: ScenarioState) -> None:
    state.live_world.call(state.world.mark_leaving, "cards-palermo-0")


@when(parsers.parse("{seconds:d} seconds pass"))
def seconds_pass(state: ScenarioState, seconds: int) -> None:
    state.live_world.advance(float(seconds))


@when("many callers request cards")
def request_cards(state: ScenarioState) -> None:
    state.runs_before = state.world.services["cards-palermo-0"].runs.total()

    async def send_many() -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(state.book, f"c{number}", ENTRY, 0, None, "cards")

    state.live_world.run(send_many())


@then("the leaving target ran none of them")
def leaving_ran_none(state: ScenarioState) -> None:
    assert len(state.responses) == 40
    assert state.world.services["cards-palermo-0"].runs.total() == state.runs_before


@when("bookings arrive while every instance is replaced in turn")
def rolling_replacement(state: ScenarioState) -> None:
    world = state.world

    async def load() -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(600):
                key = f"k{number}" if number % 2 else None
                entry = ENTRY if ENTRY in ready_entries(world) else OTHER_ENTRY
                tasks.start_soon(state.book, f"r{number}", entry, 0, key, "diary", 10.0)
                await anyio.sleep(0.05)

    async def replace_all() -> None:
        for name in [n for n in world.instances if not n.startswith("cards")]:
            await world.stop(name)
            world.start(name)
            await anyio.sleep(2.0)

    async def both() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load)
            tasks.start_soon(replace_all)

    state.live_world.run(both())


def ready_entries(world: World) -> list[str]:
    """Return the entries that the platform's load balancer considers ready."""
    return [
        name
        for name in (ENTRY, OTHER_ENTRY)
        if name in world.processes and not world.entry(name).ready()
    ]


@then("every booking succeeds")
def all_bookings_succeed(state: ScenarioState) -> None:
    assert len(state.responses) == 600
    failed = {
        name: response.body
        for name, response in state.responses.items()
        if response.status != 200
    }
    assert failed == {}


@when("one data centre is isolated and two operators apply texts at once")
def concurrent_operators(state: ScenarioState) -> None:
    world = state.world
    for other in ("palermo", "platform"):
        world.network.partition("catania", other)

    async def apply(queue: int) -> None:
        text = build_text(DATA_CENTRES, diary_options=f"queue = {queue}\n")
        state.apply_results.append(await world.apply(text, base=1))

    async def watch() -> None:
        for _ in range(200):
            for name, number in world.text_versions().items():
                state.observed_versions.setdefault(name, []).append(number)
            await anyio.sleep(0.1)

    async def apply_both() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            tasks.start_soon(apply, 21)
            tasks.start_soon(apply, 22)

    state.live_world.run(apply_both())


@then("the accepted text is in force everywhere")
def accepted_text_in_force(state: ScenarioState) -> None:
    assert sum(isinstance(result, Accepted) for result in state.apply_results) == 1
    assert set(state.world.text_versions().values()) == {2}


@then("no process ever reverted to an older text")
def never_reverted(state: ScenarioState) -> None:
    for numbers in state.observed_versions.values():
        assert numbers == sorted(numbers)
