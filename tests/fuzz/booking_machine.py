"""Stateful fuzzing of bookings under faults."""

import anyio
from builders import START_SECONDS, build_text, build_world
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule
from live_world import LiveWorld

from briarthread_common.core.exceptions import ChannelError
from briarthread_standins.platform_app import PlatformMode
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
from fuzz.world_machine import WorldMachine, count

SITES = ("palermo", "catania")
ENTRIES = tuple(f"entry-{site}-0" for site in SITES)
AGENTS = tuple(f"diary-{site}-{number}" for site in SITES for number in range(2))
KEY_LIFE = 40.0
"""Seconds for which a key is asked again; the retry horizon is 60."""
KINDS_OF_REPAIR = 4
HOLD_SECONDS = 30.0
"""How long a patient caller holds the line; its deadline is 5 s."""


class BookingMachine(WorldMachine):
    """
    Ask for bookings while instances, links and the platform misbehave.

    The invariant is the oracle's: a key runs at most once, an answer is the
    key's own, and what was told not to have run did not run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.oracle = Oracle()

    @initialize(seed=st.integers(0, 10_000))
    def start(self, seed: int) -> None:
        """Bring a small world up."""
        self.seed = seed
        self.live = LiveWorld(self.build)

    async def build(self, tasks: anyio.abc.TaskGroup) -> World:
        """Start two data centres whose diary has short queues."""
        world = build_world(tasks, self.seed, SITES, services=("diary",))
        await anyio.sleep(1)
        await world.apply(build_text(SITES, "queue = 2\nslots = 2\n"))
        await anyio.sleep(START_SECONDS)
        return world

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
        epoch = int(self.live.loop.time() // KEY_LIFE)
        key = f"<{account}/{epoch}/{number}>"
        self.call(self.tasks.start_soon, self._ask, key, entry, account, patience)

    async def _ask(self, key: str, entry: str, account: int, patience: float) -> None:
        self.oracle.record_request(key)
        with anyio.move_on_after(patience):
            try:
                answer = await self.world.call(
                    entry, "diary/b", f"salon-{account}", key, key.encode()
                )
            except ChannelError:
                pass
            else:
                count(f"answers {answer.status} {answer.outcome}".strip())
                self.oracle.record_response(key, answer, self.world.runs(key))
                return
        self.oracle.record_disconnect(key)

    @rule(seconds=st.sampled_from([0.001, 0.003, 0.006, 0.02, 0.3, 1.5, 6.0, 15.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        count("waits")
        self.advance(seconds)

    @rule(fault=faults(SITES, ENTRIES, AGENTS))
    def break_something(self, fault: Fault) -> None:
        """Bring a fault about."""
        count(type(fault).__name__)
        self.call(self._break, fault)

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
                self.freeze(name, True)

    async def _stop(self, name: str) -> None:
        member = self.world.members[name]
        await member.part.drain()
        if self.world.members.get(name) is member:
            self.world.kill(name)

    @rule(which=st.integers(0, KINDS_OF_REPAIR - 1))
    def repair(self, which: int) -> None:
        """Mend one kind of fault everywhere."""
        count("repairs")
        self.call(self._repair, which)

    def _repair(self, which: int) -> None:
        match which:
            case 0:
                self.world.network.heal()
            case 1:
                self.world.platform.state.mode = PlatformMode.UP
            case 2:
                for name in AGENTS:
                    self.freeze(name, False)
            case _:
                self.start_missing()

    @invariant()
    def nothing_is_violated(self) -> None:
        """Check every key against the oracle."""
        for key in self.oracle.keys:
            self.oracle.check_runs(key, self.world.runs(key))
        assert not self.oracle.violations, self.oracle.violations

    def repair_all_faults(self) -> None:
        """Mend every fault."""
        for which in range(KINDS_OF_REPAIR):
            self._repair(which)

    def check_final_state(self) -> None:
        """Check the final counts of all keys."""
        for key in self.oracle.keys:
            self.oracle.check_final_runs(key, self.world.runs(key))
        assert not self.oracle.violations, self.oracle.violations
