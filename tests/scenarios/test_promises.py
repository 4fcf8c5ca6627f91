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

from briarthread_common.messages.expert_map import even_map
from briarthread_common.text.text_store import Accepted, ApplyResult
from briarthread_entry.maps.coordinator import Coordinator
from briarthread_standins.rank_group import RankGroup
from briarthread_standins.world import CallerResponse, World

scenarios("promises.feature")

SITES = ("palermo", "catania")
ENTRY, OTHER_ENTRY = "entry-palermo-0", "entry-catania-0"
NEW_MAP = 7


@dataclass
class Story:
    """Hold what a scenario remembers from step to step."""

    live: LiveWorld | None = None
    group: RankGroup | None = None
    answers: dict[str, CallerResponse] = field(default_factory=dict)
    applied: list[ApplyResult] = field(default_factory=list)
    seen: dict[str, list[int]] = field(default_factory=dict)
    before: int = 0

    @property
    def world(self) -> World:
        """Return the world."""
        return self.live.world

    async def book(
        self,
        name: str,
        entry: str = ENTRY,
        account: int = 0,
        key: str | None = None,
        service: str = "diary",
        timeout: float = 5.0,
    ) -> None:
        """Ask once and remember the answer under a name."""
        self.answers[name] = await self.world.call(
            entry,
            f"{service}/x",
            f"salon-{account}",
            key,
            name.encode(),
            timeout=timeout,
        )


@pytest.fixture
def story() -> Iterator[Story]:
    story = Story()
    yield story
    story.live.close()


@given("two data centres")
def two_data_centres(story: Story) -> None:
    async def build(tasks: anyio.abc.TaskGroup) -> World:
        world = build_world(tasks, 0, SITES)
        await anyio.sleep(1)
        await world.apply(build_text(SITES))
        await anyio.sleep(START_SECONDS)
        return world

    story.live = LiveWorld(build)


@given("a group of three ranks")
def group_of_three(story: Story) -> None:
    async def build(tasks: anyio.abc.TaskGroup) -> World:
        world = World(tasks, 0)
        world.add_entry("entry-0", SITES[0])
        story.group = world.add_group(list(RANKS), SITES[0], "assistant", True)
        await anyio.sleep(1)
        await world.apply(build_text((SITES[0],), more=GROUP_TEXT))
        await anyio.sleep(8)
        return world

    story.live = LiveWorld(build)


@when("a planner dies after one rank got its confirmation")
def planner_dies(story: Story) -> None:
    world = story.world
    world.network.late_seconds = 10_000
    for name in RANKS[1:]:
        world.network.delayed_calls[
            f"{CONFIRM_PATH}@{world.instances[name].address}"
        ] = 9

    async def place() -> None:
        entry = world.entry("entry-0")
        coordinator = Coordinator(
            world.network.channel("planner", "planner"), entry.directory, entry.events
        )
        group = entry.text.current().groups["experts"]
        with anyio.move_on_after(CONFIRM_SECONDS):
            await coordinator.activate(group, even_map(NEW_MAP, 1, 8, len(RANKS)), 1)

    story.live.run(place())


@when("that rank is cut off before the others ask")
def rank_cut_off(story: Story) -> None:
    address = story.world.instances[RANKS[0]].address
    story.live.call(story.world.network.freeze, address, True)
    story.live.advance(5.0)


@then("the group waits")
def group_waits(story: Story) -> None:
    before = story.group.step
    story.live.advance(5.0)
    assert story.group.step == before


@when("everything is mended")
def everything_mended(story: Story) -> None:
    world = story.world
    for row in world.instances.values():
        story.live.call(world.network.freeze, row.address, False)
    story.live.call(world.network.heal)


@then("the group steps on the new map")
def group_steps(story: Story) -> None:
    before = story.group.step
    story.live.advance(5.0)
    assert story.group.step > before
    assert {engine.version for engine in story.group.engines} == {NEW_MAP}


@then("no step had more than one map")
def no_mismatch(story: Story) -> None:
    assert story.group.mismatches == []


@when("two callers book at once under the same key of two accounts")
def same_key_two_accounts(story: Story) -> None:
    async def both() -> None:
        async with anyio.create_task_group() as tasks:
            for account in (0, 1):
                tasks.start_soon(
                    story.book, f"caller-{account}", ENTRY, account, "same"
                )

    story.live.run(both())


@then("each gets the answer to its own booking")
def own_answers(story: Story) -> None:
    assert len(story.answers) == 2
    for name, answer in story.answers.items():
        assert msgspec.json.decode(answer.body)["body"] == name


@given("the targets of one data centre are full")
def targets_full(story: Story) -> None:
    for name, service in story.world.services.items():
        if name.startswith("diary-palermo"):
            service.delay = 0.5


@when("many callers book there without patience")
def many_book(story: Story) -> None:
    async def book_many() -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(100):
                key = f"k{number}" if number % 2 else None
                tasks.start_soon(story.book, f"b{number}", ENTRY, 0, key, "diary", 1.2)

    story.live.run(book_many())
    story.live.advance(30.0)


@then("every booking told not-run has not run")
def not_run_is_true(story: Story) -> None:
    for name, answer in story.answers.items():
        if answer.outcome == "not-run":
            assert story.world.run_count(name) == 0


@then("some were told not-run, with a time to come back")
def some_not_run(story: Story) -> None:
    told = [a for a in story.answers.values() if a.outcome == "not-run"]
    assert told
    assert all(int(answer.headers["retry-after"]) >= 1 for answer in told)


@when("a booking is made and its holder is killed and replaced")
def holder_replaced(story: Story) -> None:
    story.live.run(story.book("booking", key="k"))
    holder = next(n for n, s in story.world.services.items() if s.runs["booking"])
    story.live.call(story.world.kill, holder)
    story.live.call(story.world.start, holder)
    story.live.advance(4.0)


@when("the same booking is asked again through the other data centre")
def asked_again(story: Story) -> None:
    story.live.run(story.book("booking", OTHER_ENTRY, key="k"))


@then("the caller is told that the outcome is unknown")
def told_unknown(story: Story) -> None:
    assert story.answers["booking"].outcome == "unknown"


@then("the booking ran once")
def ran_once(story: Story) -> None:
    assert story.world.run_count("booking") == 1


@when("the platform's list says that a target leaves")
def list_says_leaving(story: Story) -> None:
    story.live.call(story.world.mark_leaving, "cards-palermo-0")


@when(parsers.parse("{seconds:d} seconds pass"))
def seconds_pass(story: Story, seconds: int) -> None:
    story.live.advance(float(seconds))


@when("many callers ask for cards")
def many_cards(story: Story) -> None:
    story.before = story.world.services["cards-palermo-0"].runs.total()

    async def ask_many() -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(story.book, f"c{number}", ENTRY, 0, None, "cards")

    story.live.run(ask_many())


@then("the leaving target ran none of them")
def leaving_ran_none(story: Story) -> None:
    assert len(story.answers) == 40
    assert story.world.services["cards-palermo-0"].runs.total() == story.before


@when("a stream of bookings runs while every instance is replaced in turn")
def rolling_replacement(story: Story) -> None:
    world = story.world

    async def load() -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(600):
                key = f"k{number}" if number % 2 else None
                entry = ENTRY if ENTRY in ready_entries(world) else OTHER_ENTRY
                tasks.start_soon(story.book, f"r{number}", entry, 0, key, "diary", 10.0)
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

    story.live.run(both())


def ready_entries(world: World) -> list[str]:
    """Return the entries that the platform's balancer would call."""
    return [
        name
        for name in (ENTRY, OTHER_ENTRY)
        if name in world.processes and not world.entry(name).ready()
    ]


@then("every booking is answered")
def all_answered(story: Story) -> None:
    assert len(story.answers) == 600
    failed = {n: a.body for n, a in story.answers.items() if a.status != 200}
    assert failed == {}


@when("one data centre is cut off and two operators race")
def operators_race(story: Story) -> None:
    world = story.world
    for other in ("palermo", "platform"):
        world.network.partition("catania", other)

    async def apply(queue: int) -> None:
        text = build_text(SITES, diary_options=f"queue = {queue}\n")
        story.applied.append(await world.apply(text, base=1))

    async def watch() -> None:
        for _ in range(200):
            for name, number in world.text_versions().items():
                story.seen.setdefault(name, []).append(number)
            await anyio.sleep(0.1)

    async def race() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            tasks.start_soon(apply, 21)
            tasks.start_soon(apply, 22)

    story.live.run(race())


@then("the winner's text is in force everywhere")
def winner_in_force(story: Story) -> None:
    assert sum(isinstance(result, Accepted) for result in story.applied) == 1
    assert set(story.world.text_versions().values()) == {2}


@then("no process was ever seen to go back")
def never_back(story: Story) -> None:
    for numbers in story.seen.values():
        assert numbers == sorted(numbers)
