"""State machine that fuzzes bookings under faults."""

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
KEY_REUSE_SECONDS = 40.0
"""Time for which a key is reused; the retry horizon is 60 s."""
REPAIR_KINDS = 4
CALLER_TIMEOUT_SECONDS = 30.0
"""Time for which a caller keeps its connection open; the deadline is 5 s."""


class BookingMachine(WorldMachine):
    """
    Sends bookings while instances, the network and the platform fail.

    The oracle checks the invariant: a key runs at most once, a response belongs to
    its key, and a request whose outcome is "not-run" did not run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.oracle = Oracle()

    @initialize(seed=st.integers(0, 10_000))
    def start(self, seed: int) -> None:
        """Start a small world."""
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
    def send_bookings(self, numbers: list[int], entry: str, account: int) -> None:
        """Send bookings, possibly with keys used before, through one entry."""
        for number in numbers:
            self._start_request(number, entry, account, CALLER_TIMEOUT_SECONDS)

    @rule(number=st.integers(0, 3), account=st.integers(0, 1))
    def send_through_all_entries(self, number: int, account: int) -> None:
        """Send one booking through all entries at the same time."""
        for entry in ENTRIES:
            self._start_request(number, entry, account, CALLER_TIMEOUT_SECONDS)

    @rule(
        number=st.integers(0, 3),
        entry=st.sampled_from(ENTRIES),
        timeout=st.sampled_from([0.002, 0.004, 0.008, 1.2]),
    )
    def send_and_disconnect(self, number: int, entry: str, timeout: float) -> None:
        """Send a booking and disconnect after ``timeout`` seconds."""
        self._start_request(number, entry, 0, timeout)

    def _start_request(
        self, number: int, entry: str, account: int, timeout: float
    ) -> None:
        count("asks")
        epoch = int(self.live.loop.time() // KEY_REUSE_SECONDS)
        key = f"<{account}/{epoch}/{number}>"
        self.call(self.tasks.start_soon, self._send, key, entry, account, timeout)

    async def _send(self, key: str, entry: str, account: int, timeout: float) -> None:
        self.oracle.record_request(key)
        with anyio.move_on_after(timeout):
            try:
                response = await self.world.call(
                    entry, "diary/b", f"salon-{account}", key, key.encode()
                )
            except ChannelError:
                pass
            else:
                count(f"answers {response.status} {response.outcome}".strip())
                self.oracle.record_response(key, response, self.world.run_count(key))
                return
        self.oracle.record_disconnect(key)

    @rule(seconds=st.sampled_from([0.001, 0.003, 0.006, 0.02, 0.3, 1.5, 6.0, 15.0]))
    def wait(self, seconds: float) -> None:
        """Advance the virtual time."""
        count("waits")
        self.advance(seconds)

    @rule(fault=faults(SITES, ENTRIES, AGENTS))
    def inject_fault(self, fault: Fault) -> None:
        """Inject a fault."""
        count(type(fault).__name__)
        self.call(self._inject, fault)

    def _inject(self, fault: Fault) -> None:
        match fault:
            case Kill(name) | Replace(name) | Stop(name) | Freeze(name):
                self._inject_process_fault(fault, name)
            case Unlist(name):
                if name not in self.world.processes:
                    self.world.platform.state.remove_instances([name])
            case SwitchPlatform(mode):
                self.world.platform.state.mode = mode
                self.world.platform.state.delay = 1.0
            case Cut(one, other):
                self.world.network.partition(one, other)
            case LoseAnswers(path, times):
                self.world.network.lost_responses[path] = times
            case Duplicate(path, times):
                self.world.network.duplicated_calls[path] = times

    def _inject_process_fault(self, fault: Fault, name: str) -> None:
        match fault:
            case Kill():
                self.world.kill(name)
            case Replace():
                self.world.kill(name)
                self.world.start(name)
            case Stop():
                if name in self.world.processes:
                    self.tasks.start_soon(self._stop, name)
            case _:
                self.freeze(name, True)

    async def _stop(self, name: str) -> None:
        member = self.world.processes[name]
        await member.component.drain()
        if self.world.processes.get(name) is member:
            self.world.kill(name)

    @rule(kind=st.integers(0, REPAIR_KINDS - 1))
    def repair(self, kind: int) -> None:
        """Repair one kind of fault in the whole deployment."""
        count("repairs")
        self.call(self._repair, kind)

    def _repair(self, kind: int) -> None:
        match kind:
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
    def no_violations(self) -> None:
        """Check the runs of all keys against the oracle."""
        for key in self.oracle.keys:
            self.oracle.check_runs(key, self.world.run_count(key))
        assert not self.oracle.violations, self.oracle.violations

    def repair_all_faults(self) -> None:
        """Repair all faults."""
        for kind in range(REPAIR_KINDS):
            self._repair(kind)

    def check_final_state(self) -> None:
        """Check the final number of runs of all keys."""
        for key in self.oracle.keys:
            self.oracle.check_final_runs(key, self.world.run_count(key))
        assert not self.oracle.violations, self.oracle.violations
