"""Bringing to its end a change of a map that its planner left behind."""

import anyio
from loguru import logger

from briarthread_agent.ranks.group_caller import MAX_DIRECT_CALLS
from briarthread_agent.ranks.group_view import GroupView, Member
from briarthread_agent.ranks.map_change_coordinator import all_armed
from briarthread_agent.ranks.pass_id import PassId
from briarthread_agent.ranks.rank_controller import RankController
from briarthread_agent.ranks.rank_peers import RankPeers
from briarthread_common.core.event_log import EventLog
from briarthread_common.direct.rank_state import ArmedMap, RankState
from briarthread_common.messages.rank_messages import (
    ARM_PATH,
    GO_PATH,
    REVOKE_PATH,
    ArmRequest,
    GoRequest,
    OrderAnswer,
    RevokeRequest,
)

POLL_SECONDS = 0.25
"""How often an agent looks at its own rank; a look is free there."""
STALLED_POLLS = 3
"""Looks in a row at a group that makes no passes, though it has requests or a
change due, before a change counts as left behind: a planner that lives lets a
pass go within some hundredths of a second."""
ARMED_STALLED_POLLS = 1
"""The same at a rank that is armed for the very next pass: all that is missing
is the word to begin it, and giving that twice does no harm."""
PROMISE_TIMEOUT_SECONDS = 0.15
"""How long a pass stays held without its planner asking for the promise that it
does, once it was seen held; a planner that lives asks within some milliseconds."""
HELD_POLLS = 1
"""Looks in a row at a pass that is held as promised, after which the planner counts
as gone: one that lives lets it go within some tenths of a second, before the group
has come to it, and it does no harm to finish a change beside it."""
ARM_TIMEOUT_SECONDS = 1.5
"""Longest time spent on arming the rest in one go; an engine without an agent
reports what it was ordered some hundred milliseconds late."""
ARM_RETRY_SECONDS = 0.05
"""Pause before the ranks that were ordered are looked at again."""
STAGGER_RANKS = 4
"""Ranks by which agents differ in patience, lest all of them ask all others. In
groups of more than ``MAX_DIRECT_CALLS`` ranks no two are alike: before 129 ranks 32 of
them asked all others at a time, thousands of calls a second while it stood still."""
FAULT_PAUSE_SECONDS = 1.0
"""Pause of a large group's agent after ranks were found missing: nothing can be
finished without them, and each try is a call to every other agent. The one that
promised the pass does not pause: it alone knows the change, and before 32 ranks the
group stood still for 1.7 s more after a frozen planner was back."""


class MapChangeRecovery:
    """
    Watch the agent's own rank and finish what a planner did not.

    A rank that neither holds nor is armed only sees that no pass begins though
    it has requests; then all ranks are asked.

    A pass that the own rank holds without a promise to a planner is let go. Else
    all ranks had loaded the new map before, so arming those that are not armed
    yet always leads to the end, and it is what the planner does as well. Whoever
    holds is told to go once all are armed. An agent that finds its rank holding
    as it starts cannot know what was promised, and takes it for promised.
    """

    def __init__(
        self, controller: RankController, peers: RankPeers, events: EventLog
    ) -> None:
        self.controller = controller
        self.peers = peers
        self.events = events

    async def run(self) -> None:
        """Look at the own rank until cancelled."""
        looks = held_looks = 0
        before: tuple[object, ...] = ()
        await self._take_over_hold()
        while True:
            await anyio.sleep(POLL_SECONDS)
            state = await self.controller.own_state()
            held = None if state is None else PassId.held_by(state)
            if held is not None:
                state = await self._drop_unpromised(held)
            now = _pending(state)
            looks = looks + 1 if now and now == before else 0
            holds = state is not None and state.held is not None
            held_looks = held_looks + 1 if holds else 0
            before = now
            if state is not None and self._left_behind(state, looks, held_looks):
                looks, held_looks = 0, HELD_POLLS
                await self.recover(state.group)

    async def _take_over_hold(self) -> None:
        """Take a pass that is held from before the agent's start for promised."""
        while (state := await self.controller.own_state()) is None:
            await anyio.sleep(POLL_SECONDS)
        if self.controller.promised_pass is None:
            self.controller.promised_pass = PassId.held_by(state)

    async def _drop_unpromised(self, held: PassId) -> RankState | None:
        """Let a held pass go unless it is promised; return the rank's new state."""
        if self.controller.promised_pass != held:
            await anyio.sleep(PROMISE_TIMEOUT_SECONDS)
            if await self.controller.release_unpromised(held):
                self.events.add("hold-withdrawn", str(held.step), "nobody asked for it")
        return await self.controller.own_state()

    def _left_behind(self, state: RankState, looks: int, held_looks: int) -> bool:
        """Tell whether a change seems to have nobody who finishes it."""
        if state.held is not None and held_looks > HELD_POLLS:
            return True
        patience = ARMED_STALLED_POLLS if state.armed is not None else STALLED_POLLS
        steps = STAGGER_RANKS if state.size <= MAX_DIRECT_CALLS else state.size
        return looks >= patience + state.rank % steps

    async def recover(self, group: str) -> None:
        """
        Finish the change of a group, as far as its ranks can be reached.

        One at a time of an agent: it must not arm ranks for a pass that it takes
        back meanwhile.
        """
        async with self.controller.recovery_lock:
            await self._recover(group)

    async def _recover(self, group: str) -> None:
        view = await self.peers.view_with_engines(group)
        if view.fault and await self._take_back(group, view):
            return
        if view.fault:
            logger.info("rank: {} is not finished now: {}", group, view.fault)
            if len(view.members) > MAX_DIRECT_CALLS and not self._holds(view):
                await anyio.sleep(FAULT_PAUSE_SECONDS)
            return
        if not view.change_pending:
            return
        armed = _agreed(view) or self._promised(view)
        if armed is not None and _on_its_way(view, armed):
            return
        if armed is None:
            self.events.add("map-unsettled", group, "no change that was promised")
            return
        self.controller.recovering_pass = PassId(view.epoch, armed.step)
        finished = await self._arm_rest(group, view, armed)
        if finished is None:
            self.events.add("map-unsettled", group, "not all ranks could be armed")
            return
        self.events.add("map-finished", group, f"version {armed.version}")
        await self._let_go(finished)

    async def _take_back(self, group: str, view: GroupView) -> bool:
        """
        Let a pass go that was promised to a planner nobody reaches any more.

        All agents but the planner's must promise first that no rank is armed; none
        is then, since the planner arms its own rank last. Once this agent has begun
        to finish a change, it goes on with that.
        """
        held = self.controller.promised_pass
        planner = self.controller.promised_to
        if (
            not planner
            or not self._holds(view)
            or self.controller.recovering_pass == held
        ):
            return False
        others = set(self.peers.addresses(group)) - {planner}
        if len(others) != view.members[0].state.size - 1:
            return False
        request = RevokeRequest(held.epoch, held.step, group)
        answers = await self.peers.call(
            REVOKE_PATH, dict.fromkeys(others, request), OrderAnswer
        )
        if sum(answer.taken for answer in answers.values()) != len(others):
            return False
        await self.controller.release_promised(held)
        self.events.add("map-taken-back", group, f"pass {held.step}, planner is gone")
        return True

    def _holds(self, view: GroupView) -> bool:
        """Tell whether the pass that the own rank promised to hold is held."""
        return self.controller.promised_pass in view.held_passes

    def _promised(self, view: GroupView) -> ArmedMap | None:
        """Return the change that the own rank was promised to hold for."""
        prepared = {member.state.prepared for member in view.members}
        if view.held_passes != {self.controller.promised_pass} or len(prepared) != 1:
            return None
        version = prepared.pop()
        return version and ArmedMap(version, self.controller.promised_pass.step)

    async def _arm_rest(
        self, group: str, view: GroupView, armed: ArmedMap
    ) -> GroupView | None:
        """Arm the ranks that are not armed yet; return them as they are then."""
        with anyio.move_on_after(ARM_TIMEOUT_SECONDS):
            while not all_armed(view.members, armed):
                async with anyio.create_task_group() as tasks:
                    for member in view.members:
                        if member.state.armed != armed:
                            tasks.start_soon(self._arm, member, armed, view)
                await anyio.sleep(ARM_RETRY_SECONDS)
                view = await self.peers.view_with_engines(group)
                if view.fault:
                    return None
            return view
        return None

    async def _arm(self, member: Member, armed: ArmedMap, view: GroupView) -> None:
        epoch = member.state.epoch
        engine = self.peers.fallback_engine(member, view)
        if engine is not None:
            await engine.arm(epoch, armed.version, armed.step)
            return
        request = ArmRequest(
            self.controller.fence,
            epoch,
            armed.version,
            armed.step,
            member.state.group,
            finishes=True,
        )
        await self.peers.call_agent(member.address, ARM_PATH, request, OrderAnswer)

    async def _let_go(self, view: GroupView) -> None:
        for member in view.members:
            if member.state.held is not None:
                await self._go(member, member.state.held, view)

    async def _go(self, member: Member, step: int, view: GroupView) -> None:
        epoch = member.state.epoch
        engine = self.peers.fallback_engine(member, view)
        if engine is not None:
            await engine.go(epoch, step)
            return
        request = GoRequest(epoch, step, member.state.group)
        await self.peers.call_agent(member.address, GO_PATH, request, OrderAnswer)


def _on_its_way(view: GroupView, armed: ArmedMap) -> bool:
    """Tell whether the change only waits for its pass to come."""
    return not view.held_passes and all_armed(view.members, armed)


def _pending(state: RankState | None) -> tuple[object, ...]:
    """
    Return what marks a group that makes no passes though it has reason to.

    One that is broken has none: it opens anew with nothing armed or held.
    """
    if state is None or not state.serving:
        return ()
    due = state.held
    if due is None and state.armed is not None:
        due = state.armed.step
    at_due = due is not None and state.step >= due - 1
    return (state.epoch, state.step) if at_due or state.running else ()


def _agreed(view: GroupView) -> ArmedMap | None:
    """Return the change that some rank is armed for already."""
    armed = {m.state.armed for m in view.members if m.state.armed is not None}
    return armed.pop() if len(armed) == 1 else None
