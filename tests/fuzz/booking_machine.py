"""Stateful fuzzing of bookings under faults."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from builders import START_SECONDS, build_text, build_world
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from briarthread_common.core.exceptions import ChannelError
from briarthread_standins.platform_app import PlatformMode
from briarthread_standins.virtual_time import VirtualLoop
from briarthread_standins.world import World
from fuzz.faults import (
    Cut,
    Duplicate,
    Fault,
    Freeze,
    Kill,
    LoseAnswers,
    Replace,
    Stop,
    SwitchPlatform,
    Unlist,
    faults,
)
from fuzz.oracle import Oracle

T = TypeVar("T")
SITES = ("palermo", "catania")
ENTRIES = tuple(f"entry-{site}-0" for site in SITES)
AGENTS = tuple(f"diary-{site}-{number}" for site in SITES for number in range(2))
KEY_LIFE = 40.0
"""Seconds for which a key is asked again; the retry horizon is 60."""
SETTLE_SECONDS = 30.0
HOLD_SECONDS = 30.0
"""How long a patient caller holds the line; its deadline is 5 s."""

counts: dict[str, int] = {}
"""Steps and faults of all runs of this process, for the long command."""


def count(what: str) -> None:
    """Count a step or a fault."""
    counts[what] = counts.get(what, 0) + 1


class BookingMachine(RuleBasedStateMachine):
    """
    Ask for bookings while instances, links and the platform misbehave.

    The invariant is the oracle's: a key runs at most once, an answer is the
    key's own, and what was told not to have run did not run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.oracle = Oracle()
        self.world: World
        self.frozen: set[str] = set()

    @initialize(seed=st.integers(0, 10_000))
    def start(self, seed: int) -> None:
        """Bring a small world up."""
        ready = asyncio.Event()
        self.holder = self.loop.create_task(self._hold(seed, ready))
        self._run(ready.wait())

    async def _hold(self, seed: int, ready: asyncio.Event) -> None:
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.world = build_world(tasks, seed, SITES, services=("diary",))
            await anyio.sleep(1)
            text = build_text(SITES, "queue = 2\nslots = 2\n")
            await self.world.apply(text)
            await anyio.sleep(START_SECONDS)
            ready.set()
            await anyio.sleep_forever()

    @rule(
        numbers=st.lists(st.integers(0, 3), min_size=1, max_size=4),
        entry=st.sampled_from(ENTRIES),
        account=st.integers(0, 1),
    )
    def ask(self, numbers: list[int], entry: str, account: int) -> None:
        """Ask for bookings, perhaps asked before, through one entry."""
        for number in numbers:
            self._start_ask(number, entry, account, HOLD_SECONDS)

    @rule(number=st.integers(0, 3), account=st.integers(0, 1))
    def ask_everywhere(self, number: int, account: int) -> None:
        """Ask for one booking through all entries at once."""
        for entry in ENTRIES:
            self._start_ask(number, entry, account, HOLD_SECONDS)

    @rule(
        number=st.integers(0, 3),
        entry=st.sampled_from(ENTRIES),
        patience=st.sampled_from([0.002, 0.004, 0.008, 1.2]),
    )
    def ask_and_hang_up(self, number: int, entry: str, patience: float) -> None:
        """Ask for a booking and hang up after a while."""
        self._start_ask(number, entry, 0, patience)

    def _start_ask(
        self, number: int, entry: str, account: int, patience: float
    ) -> None:
        count("asks")
        epoch = int(self.loop.time() // KEY_LIFE)
        key = f"<{account}/{epoch}/{number}>"
        self._do(self.tasks.start_soon, self._ask, key, entry, account, patience)

    async def _ask(self, key: str, entry: str, account: int, patience: float) -> None:
        self.oracle.note_ask(key)
        with anyio.move_on_after(patience):
            try:
                answer = await self.world.call(
                    entry, "diary/b", f"salon-{account}", key, key.encode()
                )
            except ChannelError:
                pass
            else:
                count(f"answers {answer.status} {answer.outcome}".strip())
                self.oracle.note_answer(key, answer, self.world.runs(key))
                return
        self.oracle.note_hang_up(key)

    @rule(seconds=st.sampled_from([0.001, 0.003, 0.006, 0.02, 0.3, 1.5, 6.0, 15.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        count("waits")
        self._pass(seconds)

    @rule(fault=faults(SITES, ENTRIES, AGENTS))
    def break_something(self, fault: Fault) -> None:
        """Bring a fault about."""
        count(type(fault).__name__)
        self._do(self._break, fault)

    def _break(self, fault: Fault) -> None:
        match fault:
            case Kill(name) | Replace(name) | Stop(name) | Freeze(name):
                self._break_process(fault, name)
            case Unlist(name):
                if name not in self.world.members:
                    self.world.platform.state.unlist([name])
            case SwitchPlatform(mode):
                self.world.platform.state.mode = mode
                self.world.platform.state.delay = 1.0
            case Cut(one, other):
                self.world.network.cut(one, other)
            case LoseAnswers(path, times):
                self.world.network.lose_answers[path] = times
            case Duplicate(path, times):
                self.world.network.duplicate[path] = times

    def _break_process(self, fault: Fault, name: str) -> None:
        match fault:
            case Kill():
                self.world.kill(name)
            case Replace():
                self.world.kill(name)
                self.world.start(name)
            case Stop():
                if name in self.world.members:
                    self.tasks.start_soon(self._stop, name)
            case _:
                self._freeze(name, True)

    async def _stop(self, name: str) -> None:
        member = self.world.members[name]
        await member.part.drain()
        if self.world.members.get(name) is member:
            self.world.kill(name)

    @rule(which=st.integers(0, 3))
    def repair(self, which: int) -> None:
        """Mend one kind of fault everywhere."""
        count("repairs")
        self._do(self._repair, which)

    def _repair(self, which: int) -> None:
        match which:
            case 0:
                self.world.network.heal()
            case 1:
                self.world.platform.state.mode = PlatformMode.UP
            case 2:
                for name in AGENTS:
                    self._freeze(name, False)
            case _:
                self._start_missing()

    def _start_missing(self) -> None:
        instances = self.world.instances
        missing = [name for name in instances if name not in self.world.members]
        for name in missing:
            self.world.platform.state.list_instances([instances[name]])
            self.world.start(name)

    @invariant()
    def nothing_is_violated(self) -> None:
        """Check every key against the oracle."""
        for key in self.oracle.keys:
            self.oracle.check_runs(key, self.world.runs(key))
        assert not self.oracle.violations, self.oracle.violations

    def teardown(self) -> None:
        """Mend everything, let it settle, check the final counts."""
        try:
            self._settle_and_check()
        finally:
            self.holder.cancel()
            self.loop.run_until_complete(
                asyncio.gather(self.holder, return_exceptions=True)
            )
            self.loop.close()

    def _settle_and_check(self) -> None:
        for which in range(4):
            self._do(self._repair, which)
        self._pass(SETTLE_SECONDS)
        count("runs of the machine")
        for key in self.oracle.keys:
            self.oracle.check_end(key, self.world.runs(key))
        assert not self.oracle.violations, self.oracle.violations

    def _freeze(self, name: str, frozen: bool) -> None:
        self.world.network.freeze(self.world.instances[name].address, frozen)

    def _do(self, function: Callable[..., object], *arguments: object) -> None:
        """Call a function inside the loop."""

        async def act() -> None:
            function(*arguments)
            await anyio.sleep(0)

        self._run(act())

    def _pass(self, seconds: float) -> None:
        self._run(anyio.sleep(seconds))

    def _run(self, awaitable: Awaitable[T]) -> T:
        if self.holder.done():
            self.holder.result()
        return self.loop.run_until_complete(awaitable)
