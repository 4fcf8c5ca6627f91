"""Bringing to its end a change of a map that its planner left behind."""

import anyio

from briarthread_agent.ranks.group_view import GroupView, Member
from briarthread_agent.ranks.map_mover import all_armed
from briarthread_agent.ranks.rank_keeper import RankKeeper
from briarthread_agent.ranks.rank_peers import RankPeers
from briarthread_common.core.event_log import EventLog
from briarthread_common.direct.rank_state import ArmedMap, RankState
from briarthread_common.messages.rank_messages import (
    ARM_PATH,
    GO_PATH,
    ArmRequest,
    GoRequest,
    OrderAnswer,
)

LOOK_SECONDS = 0.25
"""How often an agent looks at its own rank; a look is free there."""
STUCK_LOOKS = 3
"""Looks in a row at a group that makes no passes, though it has requests or a
change due, before a change counts as left behind: a planner that lives lets a
pass go within some hundredths of a second."""
STAGGER = 4
"""Ranks by which agents differ in patience, lest all of them ask all others."""


class MapFinisher:
    """
    Watch the agent's own rank and finish what a planner did not.

    A rank that neither holds nor is armed only sees that no pass begins though
    it has requests; then all ranks are asked.

    A pass was held only after every rank had loaded the new map, so arming
    those that are not armed yet always leads to the end, and it is what the
    planner does as well. Whoever holds is told to go once all are armed.
    """

    def __init__(self, keeper: RankKeeper, peers: RankPeers, events: EventLog) -> None:
        self.keeper = keeper
        self.peers = peers
        self.events = events

    async def run(self) -> None:
        """Look at the own rank until cancelled."""
        looks = 0
        before: tuple[object, ...] = ()
        while True:
            await anyio.sleep(LOOK_SECONDS)
            state = await self.keeper.own_state()
            now = _pending(state)
            looks = looks + 1 if now and now == before else 0
            before = now
            if state is not None and self._left_behind(state, looks):
                looks = 0
                await self.finish(state.group)

    def _left_behind(self, state: RankState, looks: int) -> bool:
        """Tell whether a change seems to have nobody who finishes it."""
        if state.held is not None and state.held != self.keeper.own_hold:
            return True
        return looks >= STUCK_LOOKS + state.rank % STAGGER

    async def finish(self, group: str) -> None:
        """Finish the change of a group, as far as its ranks can be reached."""
        view = await self.peers.view_with_engines(group)
        if view.fault or not view.unsettled:
            return
        armed = _agreed(view)
        if armed is not None and _on_its_way(view, armed):
            return
        if armed is None:
            self.events.add("map-unsettled", group, "the ranks name different maps")
            return
        for member in view.members:
            if member.state.armed != armed:
                await self._arm(member, armed)
        view = await self.peers.view_with_engines(group)
        if view.fault or not all_armed(view.members, armed):
            return
        self.events.add("map-finished", group, f"version {armed.version}")
        for member in view.members:
            if member.state.held is not None:
                await self._go(member, member.state.held)

    async def _arm(self, member: Member, armed: ArmedMap) -> None:
        epoch = member.state.epoch
        request = ArmRequest(self.keeper.fence, epoch, armed.version, armed.step)
        answers = await self.peers.call(
            ARM_PATH, {member.address: request}, OrderAnswer
        )
        engine = self.peers.engine_beside(member.address)
        if not answers and engine is not None:
            await engine.arm(epoch, armed.version, armed.step)

    async def _go(self, member: Member, step: int) -> None:
        epoch = member.state.epoch
        answers = await self.peers.call(
            GO_PATH, {member.address: GoRequest(epoch, step)}, OrderAnswer
        )
        engine = self.peers.engine_beside(member.address)
        if not answers and engine is not None:
            await engine.go(epoch, step)


def _on_its_way(view: GroupView, armed: ArmedMap) -> bool:
    """Tell whether the change only waits for its pass to come."""
    held = any(member.state.held is not None for member in view.members)
    return not held and all_armed(view.members, armed)


def _pending(state: RankState | None) -> tuple[object, ...]:
    """Return what marks a group that makes no passes though it has reason to."""
    if state is None:
        return ()
    due = state.held
    if due is None and state.armed is not None:
        due = state.armed.step
    at_due = due is not None and state.step >= due - 1
    return (state.epoch, state.step) if at_due or state.running else ()


def _agreed(view: GroupView) -> ArmedMap | None:
    """Return the change that the ranks were in the middle of."""
    armed = {m.state.armed for m in view.members if m.state.armed is not None}
    if len(armed) == 1:
        return armed.pop()
    prepared = {member.state.prepared for member in view.members}
    held = {m.state.held for m in view.members if m.state.held is not None}
    if armed or len(prepared) != 1 or len(held) != 1:
        return None
    version, step = prepared.pop(), held.pop()
    return None if version is None else ArmedMap(version, step)
