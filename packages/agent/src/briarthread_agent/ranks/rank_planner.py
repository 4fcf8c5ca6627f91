"""Planning of a group's map by the agent that holds the planner role."""

import anyio

from briarthread_agent.ranks.demand_tracker import DemandTracker
from briarthread_agent.ranks.group_view import GroupView
from briarthread_agent.ranks.map_change import MapChange
from briarthread_agent.ranks.map_change_coordinator import MapChangeCoordinator
from briarthread_agent.ranks.map_change_recovery import MapChangeRecovery
from briarthread_agent.ranks.planner_role import PlannerRole
from briarthread_agent.ranks.rank_controller import RankController
from briarthread_agent.ranks.rank_peers import RankPeers
from briarthread_common.core.event_log import EventLog
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.rank_client import Layers
from briarthread_common.direct.route_view import RouteView
from briarthread_common.messages.rank_messages import ANY_GROUP, RankQuery
from briarthread_common.placement.rank_loads import slowest_load
from briarthread_common.placement.set_rebalance import (
    FULL_WEIGHT_PASS_SECONDS,
    PassDuration,
    SetChange,
    search_set_changes,
)

POLL_SECONDS = 0.35
"""
Pause between two polls of a busy group.

It spans a few passes, in which about ten thousand choices of experts are counted.
"""
POLL_SECONDS_PER_RANK = 0.006
"""The same pause per rank, so that polling a large group does not fill the link."""
IDLE_POLL_SECONDS = 1.0
"""Pause between two polls while the group makes no passes."""
BROKEN_POLL_SECONDS = 0.2
"""
Pause between two polls while the group is broken.

The group restarts with the first map, and callers have been waiting for it.
"""
BROKEN_POLL_SECONDS_PER_RANK = 0.005
"""The same pause per rank, so that polling a large group does not fill the link."""
PENDING_POLL_SECONDS = 0.1
"""
Pause between two polls while the last change waits for its pass.

The next change can be planned as soon as that one is active, and demand may have
shifted meanwhile.
"""
MAX_COUNTS_PER_POLL = 8000
"""
Maximum number of counts that are read in one poll of all ranks.

They take about 25 KB, which the link of a target's instance transfers in a few
hundredths of a second.
"""
MIN_COUNTED_RANKS = 8
"""Minimum number of ranks whose counts are read in each poll."""


class RankPlanner:
    """Read the counts of a group's ranks, plan map changes and have them applied."""

    def __init__(
        self,
        service: str,
        routes: RouteView,
        controller: RankController,
        peers: RankPeers,
        role: PlannerRole,
        events: EventLog,
    ) -> None:
        self.service = service
        self.routes = routes
        self.controller = controller
        self.peers = peers
        self.role = role
        self.events = events
        self.coordinator = MapChangeCoordinator(controller, peers, events)
        self.recovery = MapChangeRecovery(controller, peers, events)
        self.group = ANY_GROUP
        self.demand_tracker: DemandTracker | None = None
        self.layers: Layers = []
        self.active_map: tuple[int, int] | None = None
        self.version = 0
        self.slow_ranks: dict[str, float] = {}
        self.count_offset = 0
        self.restarting = False

    async def run(self) -> None:
        """Plan while this agent holds the planner role, until cancelled."""
        while True:
            service = self._service()
            state = await self.controller.own_state()
            if service is None or service.experts is None or state is None:
                await anyio.sleep(IDLE_POLL_SECONDS)
                continue
            self._reset_for_group(state.group)
            fence = await self.role.acquire(state.group, state.size)
            if fence is None:
                continue
            await anyio.sleep(await self._poll(state.group, service, fence))

    def _reset_for_group(self, group: str) -> None:
        """Discard the state of the previous group when the rank has changed groups."""
        if group != self.group:
            self.group = group
            self.demand_tracker, self.layers, self.active_map = None, [], None
            self.slow_ranks, self.restarting = {}, False

    async def _poll(self, group: str, service: DirectService, fence: int) -> float:
        """
        Poll the group once; return the pause until the next poll.

        A group that has just recovered is treated as fully loaded, since callers have
        waited for it, and the earlier choices of its ranks are taken as its demand.
        """
        query = RankQuery(fence, slow=self.slow_ranks)
        view = await self.peers.view(group, query, self._agents_to_count(service))
        self.restarting = self.restarting or view.broken
        if view.fault:
            return max(
                BROKEN_POLL_SECONDS, len(view.members) * BROKEN_POLL_SECONDS_PER_RANK
            )
        self._update_slow_ranks(group, view)
        if view.change_pending:
            if not self._is_own_change(view):
                await self.recovery.recover(group)
            return PENDING_POLL_SECONDS
        pause = max(POLL_SECONDS, len(view.members) * POLL_SECONDS_PER_RANK)
        if not await self._ensure_map_known(group, service, view, fence):
            return pause
        pass_seconds = self.demand_tracker.observe(view, anyio.current_time())
        if self.restarting:
            self.restarting, pass_seconds = False, FULL_WEIGHT_PASS_SECONDS
        if pass_seconds is None:
            return IDLE_POLL_SECONDS
        layers, load_count, saved_seconds = await self._improve_layers(
            service, view, pass_seconds
        )
        if load_count:
            self.events.add(
                "map-planned",
                group,
                f"{load_count} experts to load, saves {saved_seconds:.2f} s, "
                f"{pass_seconds * 1000:.0f} ms a pass",
            )
            await self._activate(view, fence, layers, pass_seconds)
        return pause

    def _is_own_change(self, view: GroupView) -> bool:
        """Return whether the only pending change is the last one of this planner."""
        own_version = None if self.active_map is None else self.active_map[1]
        if view.held_passes:
            return False
        return all(
            own_version
            == (state.map_version if state.armed is None else state.armed.version)
            for state in (member.state for member in view.members)
        )

    def _agents_to_count(self, service: DirectService) -> list[str]:
        """
        Return the agents whose counts are requested in this poll, in rotation.

        They are far apart in the list, so that no relay has to forward the counts of
        several agents.
        """
        layout = service.experts
        addresses = sorted(self.peers.addresses(self.group))
        max_agents = max(
            MAX_COUNTS_PER_POLL // (layout.sets * layout.experts), MIN_COUNTED_RANKS
        )
        if len(addresses) <= max_agents:
            return addresses
        stride = len(addresses) // max_agents
        self.count_offset += 1
        return [
            addresses[(self.count_offset + number * stride) % len(addresses)]
            for number in range(max_agents)
        ]

    def _update_slow_ranks(self, group: str, view: GroupView) -> None:
        slow = view.slow_ranks()
        if slow.keys() != self.slow_ranks.keys():
            self.events.add("ranks-slow", group, f"{slow or 'none'}")
        self.slow_ranks = slow

    async def _activate(
        self, view: GroupView, fence: int, layers: Layers, pass_seconds: float
    ) -> None:
        newest = max(self.version, self.controller.newest_version)
        self.version = max(newest, view.newest_version()) + 1
        change = MapChange(self.version, layers, self.active_map[1], self.layers)
        activated = await self.coordinator.activate(view, fence, change, pass_seconds)
        if activated:
            self.layers = layers
            self.active_map = (view.epoch, self.version)
        else:
            self.active_map = None

    async def _ensure_map_known(
        self, group: str, service: DirectService, view: GroupView, fence: int
    ) -> bool:
        """Ensure that the active map is known, querying the ranks if necessary."""
        versions = {member.state.map_version for member in view.members}
        if len(versions) != 1:
            return False
        known = (view.epoch, versions.pop())
        if self.active_map == known:
            return True
        if self.active_map is not None and self.active_map[0] == view.epoch:
            return False
        current = await self.peers.view(group, RankQuery(fence, with_experts=True))
        if current.fault or current.epoch != view.epoch:
            return False
        if any(m.state.map_version != known[1] for m in current.members):
            return False
        layout = service.experts
        if any(len(m.answer.experts) != layout.sets for m in current.members):
            return False
        self.layers = [
            [member.answer.experts[number] for member in current.members]
            for number in range(layout.sets)
        ]
        if self.demand_tracker is None or self.demand_tracker.layout != layout:
            self.demand_tracker = DemandTracker(layout)
        self.active_map = known
        return True

    async def _improve_layers(
        self, service: DirectService, view: GroupView, pass_seconds: float
    ) -> tuple[Layers, int, float]:
        """Return improved layers, the number of loads and the seconds saved."""
        engine, layout = service.engine, service.experts
        duration = PassDuration(
            pass_seconds, engine.steps_per_pass * engine.step_seconds
        )
        demand = self.demand_tracker.demand(anyio.current_time())
        slowdown = [member.state.slowdown for member in view.members]
        slowest = [
            slowest_load(layer, counts, slowdown)
            for layer, counts in zip(self.layers, demand, strict=True)
        ]
        improved: Layers = []
        load_count, saved_seconds = 0, 0.0
        for number, layer in enumerate(self.layers):
            other_sets = sum(slowest) - slowest[number]
            change = SetChange(layer, 0, 0.0)
            for found in search_set_changes(
                layer, demand[number], other_sets, layout, duration, slowdown
            ):
                change = found
                await anyio.sleep(0)
            improved.append(change.layer)
            load_count += change.loads
            saved_seconds += change.saved
        return improved, load_count, saved_seconds

    def _service(self) -> DirectService | None:
        routes = self.routes.current()
        return None if routes is None else routes.services.get(self.service)
