"""State machine that fuzzes the activation of expert maps under faults."""

import anyio
from builders import build_text
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule
from live_world import LiveWorld

from briarthread_common.messages.engine_order import ORDER_PATH
from briarthread_common.messages.expert_map import round_robin_map
from briarthread_common.messages.map_messages import (
    ANNOUNCE_PATH,
    CONFIRM_PATH,
    STAGE_PATH,
    VERDICT_PATH,
)
from briarthread_entry.maps.coordinator import Coordinator
from briarthread_standins.world import World
from fuzz.world_machine import WorldMachine, count

SITE = "palermo"
RANKS = tuple(f"rank-{number}" for number in range(3))
PLANNER_SITES = ("planner-0", "planner-1")
PATHS = (STAGE_PATH, ANNOUNCE_PATH, CONFIRM_PATH, VERDICT_PATH, ORDER_PATH)
VERSIONS_PER_FENCE = 1000
CONFIRM_SECONDS = 0.08
"""Time after which a planner has sent its first confirmations."""
RECOVERY_SECONDS = 4.0
GROUP_TEXT = (
    "[service assistant]\nkind = engine\ndata_centres = palermo\nidempotent = yes\n"
    f"[group experts]\nservice = assistant\ndata_centre = {SITE}\n"
    f"targets = {', '.join(RANKS)}\nexperts = 8\nslots = 4\n"
)


class MapMachine(WorldMachine):
    """
    Proposes maps from concurrent planners while ranks, agents and the network fail.

    The invariant is that all ranks use the same map in every step. At the end, after
    all faults are repaired, the group has to make steps again.
    """

    @initialize(seed=st.integers(0, 10_000), fencing=st.booleans())
    def start(self, seed: int, fencing: bool) -> None:
        """Start a group of three ranks."""
        self.fencing = fencing
        self.fence = 1
        self.proposals = 0
        self.planner_scopes: list[anyio.CancelScope] = []
        self.seed = seed
        self.live = LiveWorld(self.build)

    async def build(self, tasks: anyio.abc.TaskGroup) -> World:
        """Start an entry and the group."""
        world = World(tasks, self.seed)
        world.add_entry("entry-0", SITE)
        self.group = world.add_group(list(RANKS), SITE, "assistant", self.fencing)
        await anyio.sleep(1)
        await world.apply(build_text((SITE,), more=GROUP_TEXT))
        await anyio.sleep(8)
        return world

    @rule(planner=st.integers(0, 1), new_lease=st.booleans())
    def propose(self, planner: int, new_lease: bool) -> None:
        """Propose a map from a planner, with a new or an old lease."""
        count("proposals")
        if new_lease:
            self.fence += 1
        self.proposals += 1
        version = self.fence * VERSIONS_PER_FENCE + self.proposals
        self.call(self.tasks.start_soon, self._propose, planner, version)

    async def _propose(self, planner: int, version: int) -> None:
        group = self.world.entry("entry-0").text.current().groups["experts"]
        entry = self.world.entry("entry-0")
        channel = self.world.network.channel("planner", PLANNER_SITES[planner])
        coordinator = Coordinator(channel, entry.directory, entry.events)
        expert_map = round_robin_map(version, 1, 8, len(RANKS))
        with anyio.CancelScope() as scope:
            self.planner_scopes.append(scope)
            fence = version // VERSIONS_PER_FENCE
            result = await coordinator.activate(group, expert_map, fence)
            count(type(result).__name__)

    @rule(
        confirmed=st.sets(st.sampled_from(RANKS)),
        follow_up_fault=st.sampled_from(["freeze", "kill", "replace", "nothing"]),
        late=st.sampled_from([0.1, 0.7, 1.0, 1.5]),
        seconds=st.sampled_from([0.0, 0.2, 0.7, 1.2]),
        repair_first=st.booleans(),
    )
    def kill_planner_during_confirmation(
        self,
        confirmed: set[str],
        follow_up_fault: str,
        late: float,
        seconds: float,
        repair_first: bool,
    ) -> None:
        """Kill a planner after only some ranks received its confirmation."""
        count("planner deaths in a confirmation")
        if repair_first:
            self.call(self.repair_all_faults)
            self.advance(RECOVERY_SECONDS)
        network = self.world.network
        network.late_seconds = late
        for name in set(RANKS) - confirmed:
            address = self.world.instances[name].address
            network.delayed_calls[f"{CONFIRM_PATH}@{address}"] = 1
        self.propose(0, new_lease=True)
        self.advance(CONFIRM_SECONDS)
        self.call(self._kill_planners)
        for name in confirmed:
            self.call(self._inject_fault, name, follow_up_fault)
        self.advance(seconds)

    def _inject_fault(self, name: str, follow_up_fault: str) -> None:
        match follow_up_fault:
            case "freeze":
                self.freeze(name, True)
            case "kill":
                self.world.kill(name)
            case "replace":
                self.world.kill(name)
                self.world.start(name)

    @rule()
    def kill_planners(self) -> None:
        """Kill all planners during their work."""
        count("planner kills")
        self.call(self._kill_planners)

    def _kill_planners(self) -> None:
        for scope in self.planner_scopes:
            scope.cancel()
        self.planner_scopes = []

    @rule(seconds=st.sampled_from([0.002, 0.004, 0.01, 0.05, 0.2, 0.6, 0.7, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.advance(seconds)

    @rule(name=st.sampled_from(RANKS), replace=st.booleans())
    def kill_agent(self, name: str, replace: bool) -> None:
        """Kill an agent, and optionally replace it at once."""
        count("agent kills")
        self.call(self.world.kill, name)
        if replace:
            self.call(self.world.start, name)

    @rule(number=st.integers(0, len(RANKS) - 1), replace=st.booleans())
    def kill_engine(self, number: int, replace: bool) -> None:
        """Kill an engine, and optionally replace it at once."""
        count("engine kills")
        self.call(self._kill_engine, number)
        if replace:
            self.call(self._start_engine, number)

    def _kill_engine(self, number: int) -> None:
        self.group.engines[number].alive = False
        self.world.network.close(f"target-{RANKS[number]}")

    def _start_engine(self, number: int) -> None:
        engine = self.group.engines[number]
        if engine.alive:
            return
        engine.restart()
        engine.alive = True
        name = RANKS[number]
        self.world.network.listen(
            f"target-{name}", f"slot-{name}", engine.app, accepts_late_calls=False
        )

    @rule(name=st.sampled_from(RANKS))
    def freeze_agent(self, name: str) -> None:
        """Freeze all messages of an agent."""
        count("freezes")
        self.call(self.freeze, name, True)

    @rule(planner=st.sampled_from(PLANNER_SITES))
    def partition_planner(self, planner: str) -> None:
        """Partition a planner from the group."""
        count("cuts")
        self.world.network.partition(planner, SITE)

    @rule(path=st.sampled_from(PATHS), times=st.integers(1, 3))
    def lose_responses(self, path: str, times: int) -> None:
        """Lose the responses to calls of a path after the calls took effect."""
        count("lost answers")
        self.world.network.lost_responses[path] = times

    @rule(
        path=st.sampled_from(PATHS),
        times=st.integers(1, 3),
        late=st.sampled_from([0.1, 0.7, 1.5]),
    )
    def delay(self, path: str, times: int, late: float) -> None:
        """Fail calls of a path for the caller and deliver them later."""
        count("delays")
        self.world.network.delayed_calls[path] = times
        self.world.network.late_seconds = late

    @rule(
        path=st.sampled_from(PATHS),
        times=st.integers(1, 3),
        late=st.sampled_from([0.0, 0.1, 0.7, 1.5]),
    )
    def duplicate(self, path: str, times: int, late: float) -> None:
        """Deliver calls of a path a second time, later."""
        count("duplicates")
        self.world.network.duplicated_calls[path] = times
        self.world.network.late_seconds = late

    @rule()
    def repair(self) -> None:
        """Repair all faults."""
        count("repairs")
        self.call(self.repair_all_faults)

    def repair_all_faults(self) -> None:
        """Repair all faults, and start all agents and engines."""
        for name in RANKS:
            self.freeze(name, False)
        for number in range(len(RANKS)):
            self._start_engine(number)
        self.world.network.heal()
        self.world.network.delayed_calls.clear()
        self.start_missing()

    @invariant()
    def all_ranks_use_the_same_map(self) -> None:
        """Check all steps so far."""
        assert not self.group.mismatches, self.group.mismatches

    def check_final_state(self) -> None:
        """Check that the group makes steps, with the same map on all ranks."""
        step_before = self.group.step
        self.advance(5.0)
        states = [engine.state() for engine in self.group.engines]
        assert self.group.step > step_before, states
        assert not self.group.mismatches, self.group.mismatches
