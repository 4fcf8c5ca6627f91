"""The planning of a group's map by the agent that has the role."""

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
from briarthread_common.placement.quick_change import (
    FULL_PASS,
    PassLength,
    SetChange,
    set_changes,
)
from briarthread_common.placement.rank_loads import slowest_load

POLL_SECONDS = 0.35
"""Pause between two looks at a busy group: a few passes, in which some ten
thousand choices of experts are counted."""
POLL_SECONDS_PER_RANK = 0.006
"""The same for each rank, so that looks at a large group leave its link free."""
IDLE_POLL_SECONDS = 1.0
"""The same while the group makes no passes."""
BROKEN_POLL_SECONDS = 0.2
"""The same while the group is broken: it opens with the first map, and callers
have been waiting for it."""
BROKEN_POLL_SECONDS_PER_RANK = 0.005
"""The same for each rank, so that looks at a large group leave its link free."""
PENDING_POLL_SECONDS = 0.1
"""The same while the change made last waits for its pass: the next one can be
planned as soon as it is in force, and demand may have shifted meanwhile."""
MAX_COUNTS_PER_POLL = 8000
"""Counts read at one look, all ranks together: some 25 KB, which the link of a
target's instance carries in a few hundredths of a second."""
MIN_COUNTED_RANKS = 8
"""Ranks whose counts are read at each look at least."""


class RankPlanner:
    """Read the ranks' counts, decide on changes and have them carried out."""

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
        self.placed: tuple[int, int] | None = None
        self.version = 0
        self.slow: dict[str, float] = {}
        self.counted_from = 0
        self.opens = False

    async def run(self) -> None:
        """Plan whenever the role is this agent's, until cancelled."""
        while True:
            service = self._service()
            state = await self.controller.own_state()
            if service is None or service.experts is None or state is None:
                await anyio.sleep(IDLE_POLL_SECONDS)
                continue
            self._take_up(state.group)
            fence = await self.role.acquire(state.group, state.size)
            if fence is None:
                continue
            await anyio.sleep(await self._look(state.group, service, fence))

    def _take_up(self, group: str) -> None:
        """Forget what was known of another group that the rank was in before."""
        if group != self.group:
            self.group = group
            self.demand_tracker, self.layers, self.placed = None, [], None
            self.slow, self.opens = {}, False

    async def _look(self, group: str, service: DirectService, fence: int) -> float:
        """
        Look at the group once; return the pause until the next look.

        A group that has just opened counts as fully loaded, since callers have
        waited for it, and what its ranks chose before as its demand.
        """
        query = RankQuery(fence, slow=self.slow)
        view = await self.peers.view(group, query, self._counted(service))
        self.opens = self.opens or view.broken
        if view.fault:
            return max(
                BROKEN_POLL_SECONDS, len(view.members) * BROKEN_POLL_SECONDS_PER_RANK
            )
        self._note_slow(group, view)
        if view.change_pending:
            if not self._is_own_change(view):
                await self.recovery.recover(group)
            return PENDING_POLL_SECONDS
        pause = max(POLL_SECONDS, len(view.members) * POLL_SECONDS_PER_RANK)
        if not await self._know_map(group, service, view, fence):
            return pause
        passes = self.demand_tracker.observe(view, anyio.current_time())
        if self.opens:
            self.opens, passes = False, FULL_PASS
        if passes is None:
            return IDLE_POLL_SECONDS
        layers, loads, saved = await self._improve(service, view, passes)
        if loads:
            self.events.add(
                "map-planned",
                group,
                f"{loads} experts to load, saves {saved:.2f} s, "
                f"{passes * 1000:.0f} ms a pass",
            )
            await self._place(view, fence, layers, passes)
        return pause

    def _is_own_change(self, view: GroupView) -> bool:
        """Tell whether all that is change_pending is the change made last."""
        own = None if self.placed is None else self.placed[1]
        if view.held_passes:
            return False
        return all(
            own == (state.map_version if state.armed is None else state.armed.version)
            for state in (member.state for member in view.members)
        )

    def _counted(self, service: DirectService) -> list[str]:
        """
        Return the agents that are asked for counts at this look, in turn.

        Those asked at one look lie far apart in the list, so that no agent has
        the counts of several to pass on.
        """
        figures = service.experts
        addresses = sorted(self.peers.addresses(self.group))
        most = max(
            MAX_COUNTS_PER_POLL // (figures.sets * figures.experts), MIN_COUNTED_RANKS
        )
        if len(addresses) <= most:
            return addresses
        stride = len(addresses) // most
        self.counted_from += 1
        return [
            addresses[(self.counted_from + number * stride) % len(addresses)]
            for number in range(most)
        ]

    def _note_slow(self, group: str, view: GroupView) -> None:
        slow = view.slow_ranks()
        if slow.keys() != self.slow.keys():
            self.events.add("ranks-slow", group, f"{slow or 'none'}")
        self.slow = slow

    async def _place(
        self, view: GroupView, fence: int, layers: Layers, passes: float
    ) -> None:
        known = max(self.version, self.controller.newest_version)
        self.version = max(known, view.newest_version()) + 1
        change = MapChange(self.version, layers, self.placed[1], self.layers)
        placed = await self.coordinator.apply(view, fence, change, passes)
        if placed:
            self.layers = layers
            self.placed = (view.epoch, self.version)
        else:
            self.placed = None

    async def _know_map(
        self, group: str, service: DirectService, view: GroupView, fence: int
    ) -> bool:
        """Tell whether the map in force is known, having asked if need be."""
        versions = {member.state.map_version for member in view.members}
        if len(versions) != 1:
            return False
        known = (view.epoch, versions.pop())
        if self.placed == known:
            return True
        if self.placed is not None and self.placed[0] == view.epoch:
            return False
        asked = await self.peers.view(group, RankQuery(fence, with_experts=True))
        if asked.fault or asked.epoch != view.epoch:
            return False
        figures = service.experts
        if any(len(m.answer.experts) != figures.sets for m in asked.members):
            return False
        self.layers = [
            [member.answer.experts[number] for member in asked.members]
            for number in range(figures.sets)
        ]
        if self.demand_tracker is None or self.demand_tracker.figures != figures:
            self.demand_tracker = DemandTracker(figures)
        self.placed = known
        return True

    async def _improve(
        self, service: DirectService, view: GroupView, passes: float
    ) -> tuple[Layers, int, float]:
        """Return better layers, the experts to load and the seconds saved."""
        engine, figures = service.engine, service.experts
        length = PassLength(passes, engine.stride * engine.step_seconds)
        demand = self.demand_tracker.demand(anyio.current_time())
        slowdown = [member.state.slowdown for member in view.members]
        slowest = [
            slowest_load(layer, counts, slowdown)
            for layer, counts in zip(self.layers, demand, strict=True)
        ]
        better: Layers = []
        loads, saved = 0, 0.0
        for number, layer in enumerate(self.layers):
            others = sum(slowest) - slowest[number]
            change = SetChange(layer, 0, 0.0)
            for found in set_changes(
                layer, demand[number], others, figures, length, slowdown
            ):
                change = found
                await anyio.sleep(0)
            better.append(change.layer)
            loads += change.loads
            saved += change.saved
        return better, loads, saved

    def _service(self) -> DirectService | None:
        routes = self.routes.current()
        return None if routes is None else routes.services.get(self.service)
