"""The planning of a group's map by the agent that has the seat."""

import anyio

from briarthread_agent.ranks.demand_watch import DemandWatch
from briarthread_agent.ranks.group_view import GroupView
from briarthread_agent.ranks.map_change import MapChange
from briarthread_agent.ranks.map_finisher import MapFinisher
from briarthread_agent.ranks.map_mover import MapMover
from briarthread_agent.ranks.planner_seat import PlannerSeat
from briarthread_agent.ranks.rank_keeper import RankKeeper
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

LOOK_SECONDS = 0.35
"""Pause between two looks at a busy group: a few passes, in which some ten
thousand choices of experts are counted."""
LOOK_RANK_SECONDS = 0.006
"""The same for each rank, so that looks at a large group leave its link free."""
IDLE_SECONDS = 1.0
"""The same while the group makes no passes."""
BROKEN_SECONDS = 0.2
"""The same while the group is broken: it opens with the first map, and callers
have been waiting for it."""
BROKEN_RANK_SECONDS = 0.005
"""The same for each rank, so that looks at a large group leave its link free."""
SETTLING_SECONDS = 0.1
"""The same while the change made last waits for its pass: the next one can be
planned as soon as it is in force, and demand may have shifted meanwhile."""
COUNTED_NUMBERS = 8000
"""Counts read at one look, all ranks together: some 25 KB, which the link of a
target's instance carries in a few hundredths of a second."""
LEAST_COUNTED = 8
"""Ranks whose counts are read at each look at least."""


class RankPlanner:
    """Read the ranks' counts, decide on changes and have them carried out."""

    def __init__(
        self,
        service: str,
        routes: RouteView,
        keeper: RankKeeper,
        peers: RankPeers,
        seat: PlannerSeat,
        events: EventLog,
    ) -> None:
        self.service = service
        self.routes = routes
        self.keeper = keeper
        self.peers = peers
        self.seat = seat
        self.events = events
        self.mover = MapMover(keeper, peers, events)
        self.finisher = MapFinisher(keeper, peers, events)
        self.group = ANY_GROUP
        self.watch: DemandWatch | None = None
        self.layers: Layers = []
        self.placed: tuple[int, int] | None = None
        self.version = 0
        self.slow: dict[str, float] = {}
        self.counted_from = 0
        self.opens = False

    async def run(self) -> None:
        """Plan whenever the seat is this agent's, until cancelled."""
        while True:
            service = self._service()
            state = await self.keeper.own_state()
            if service is None or service.experts is None or state is None:
                await anyio.sleep(IDLE_SECONDS)
                continue
            self._take_up(state.group)
            fence = await self.seat.wait(state.group, state.size)
            if fence is None:
                continue
            await anyio.sleep(await self._look(state.group, service, fence))

    def _take_up(self, group: str) -> None:
        """Forget what was known of another group that the rank was in before."""
        if group != self.group:
            self.group = group
            self.watch, self.layers, self.placed = None, [], None
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
            return max(BROKEN_SECONDS, len(view.members) * BROKEN_RANK_SECONDS)
        self._note_slow(group, view)
        if view.unsettled:
            if not self._is_own_change(view):
                await self.finisher.finish(group)
            return SETTLING_SECONDS
        pause = max(LOOK_SECONDS, len(view.members) * LOOK_RANK_SECONDS)
        if not await self._know_map(group, service, view, fence):
            return pause
        passes = self.watch.observe(view, anyio.current_time())
        if self.opens:
            self.opens, passes = False, FULL_WEIGHT_PASS_SECONDS
        if passes is None:
            return IDLE_SECONDS
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
        """Tell whether all that is unsettled is the change made last."""
        own = None if self.placed is None else self.placed[1]
        if view.held:
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
        most = max(COUNTED_NUMBERS // (figures.sets * figures.experts), LEAST_COUNTED)
        if len(addresses) <= most:
            return addresses
        stride = len(addresses) // most
        self.counted_from += 1
        return [
            addresses[(self.counted_from + number * stride) % len(addresses)]
            for number in range(most)
        ]

    def _note_slow(self, group: str, view: GroupView) -> None:
        slow = view.slow()
        if slow.keys() != self.slow.keys():
            self.events.add("ranks-slow", group, f"{slow or 'none'}")
        self.slow = slow

    async def _place(
        self, view: GroupView, fence: int, layers: Layers, passes: float
    ) -> None:
        known = max(self.version, self.keeper.newest_version)
        self.version = max(known, view.newest_version()) + 1
        change = MapChange(self.version, layers, self.placed[1], self.layers)
        placed = await self.mover.place(view, fence, change, passes)
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
        if self.watch is None or self.watch.figures != figures:
            self.watch = DemandWatch(figures)
        self.placed = known
        return True

    async def _improve(
        self, service: DirectService, view: GroupView, passes: float
    ) -> tuple[Layers, int, float]:
        """Return better layers, the experts to load and the seconds saved."""
        engine, figures = service.engine, service.experts
        length = PassDuration(passes, engine.steps_per_pass * engine.step_seconds)
        demand = self.watch.demand(anyio.current_time())
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
            for found in search_set_changes(
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
