"""Recovery of map changes that their planner did not complete."""

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
"""How often an agent polls its own rank, which costs next to nothing."""
STALLED_POLLS = 3
"""
Consecutive polls without a new pass after which a change counts as abandoned.

Only polls count at which the group has requests or a change is due. A live planner
releases a pass within a few hundredths of a second.
"""
ARMED_STALLED_POLLS = 1
"""
The same for a rank that is armed for the next pass.

Only the order to release the pass is missing, and repeating it is harmless.
"""
PROMISE_TIMEOUT_SECONDS = 0.15
"""
Time for which a detected hold is kept without a planner's request for the promise.

A live planner sends that request within a few milliseconds.
"""
HELD_POLLS = 1
"""
Consecutive polls of a promised hold after which its planner counts as failed.

A live planner releases the pass within a few tenths of a second, before the group
reaches it. Completing a change concurrently with its planner is harmless.
"""
ARM_TIMEOUT_SECONDS = 1.5
"""
Longest time spent on arming the remaining ranks in one attempt.

An engine without an agent reports the effect of an order a few hundred milliseconds
late.
"""
ARM_RETRY_SECONDS = 0.05
"""Pause between arming ranks and reading their states."""
STAGGER_RANKS = 4
"""
Number of different delays after which the agents of a group start recovery.

It keeps all agents from querying all others at once. In groups of more than
``MAX_DIRECT_CALLS`` ranks every agent has a delay of its own: with only this many
delays, 32 of 129 agents queried all others at the same time, which made thousands
of calls a second while the group was stalled.
"""
FAULT_PAUSE_SECONDS = 1.0
"""
Pause of an agent in a large group after it found that ranks are missing.

Recovery is impossible without them, and each attempt calls every other agent. The
agent that promised the pass does not pause, since it alone knows the change: with a
pause, a group of 32 ranks stalled for another 1.7 s after a frozen planner was back.
"""


class MapChangeRecovery:
    """
    Monitor the agent's own rank and complete changes that a planner abandoned.

    The agent of a rank that neither holds a pass nor is armed only observes that no
    pass begins although the rank has requests. It then queries all ranks.

    A pass that the own rank holds without a promise to a planner is released. In all
    other cases every rank has loaded the new map, so arming the remaining ranks, as
    the planner does, always completes the change. The holding ranks release the pass
    once all are armed. An agent whose rank already holds a pass when the agent starts
    cannot know whether the pass was promised, and treats it as promised.
    """

    def __init__(
        self, controller: RankController, peers: RankPeers, events: EventLog
    ) -> None:
        self.controller = controller
        self.peers = peers
        self.events = events

    async def run(self) -> None:
        """Poll the own rank until cancelled."""
        stalled_polls = held_polls = 0
        previous: tuple[object, ...] = ()
        await self._adopt_existing_hold()
        while True:
            await anyio.sleep(POLL_SECONDS)
            state = await self.controller.own_state()
            held = None if state is None else PassId.held_by(state)
            if held is not None:
                state = await self._release_unpromised(held)
            progress = _expected_progress(state)
            stalled_polls = (
                stalled_polls + 1 if progress and progress == previous else 0
            )
            is_holding = state is not None and state.held is not None
            held_polls = held_polls + 1 if is_holding else 0
            previous = progress
            if state is not None and self._is_abandoned(
                state, stalled_polls, held_polls
            ):
                stalled_polls, held_polls = 0, HELD_POLLS
                await self.recover(state.group)

    async def _adopt_existing_hold(self) -> None:
        """Treat a pass that was held before the agent's start as promised."""
        while (state := await self.controller.own_state()) is None:
            await anyio.sleep(POLL_SECONDS)
        if self.controller.promised_pass is None:
            self.controller.promised_pass = PassId.held_by(state)

    async def _release_unpromised(self, held: PassId) -> RankState | None:
        """Release a held pass unless it is promised; return the rank's new state."""
        if self.controller.promised_pass != held:
            await anyio.sleep(PROMISE_TIMEOUT_SECONDS)
            if await self.controller.release_unpromised(held):
                self.events.add("hold-withdrawn", str(held.step), "not promised")
        return await self.controller.own_state()

    def _is_abandoned(
        self, state: RankState, stalled_polls: int, held_polls: int
    ) -> bool:
        """Return whether a change appears to be abandoned by its planner."""
        if state.held is not None and held_polls > HELD_POLLS:
            return True
        threshold = ARMED_STALLED_POLLS if state.armed is not None else STALLED_POLLS
        delays = STAGGER_RANKS if state.size <= MAX_DIRECT_CALLS else state.size
        return stalled_polls >= threshold + state.rank % delays

    async def recover(self, group: str) -> None:
        """
        Complete or revoke the pending change of a group if its ranks are reachable.

        An agent runs one recovery at a time, so that it does not arm ranks for a pass
        while it is revoking the promise for it.
        """
        async with self.controller.recovery_lock:
            await self._recover(group)

    async def _recover(self, group: str) -> None:
        view = await self.peers.view_with_engines(group)
        if view.fault and await self._revoke_promise(group, view):
            return
        if view.fault:
            logger.info("rank: cannot recover group {} now: {}", group, view.fault)
            if len(view.members) > MAX_DIRECT_CALLS and not self._is_promise_held(view):
                await anyio.sleep(FAULT_PAUSE_SECONDS)
            return
        if not view.change_pending:
            return
        armed = _armed_change(view) or self._promised_change(view)
        if armed is not None and _is_waiting_for_pass(view, armed):
            return
        if armed is None:
            self.events.add("map-unsettled", group, "no promised change found")
            return
        self.controller.recovering_pass = PassId(view.epoch, armed.step)
        recovered = await self._arm_rest(group, view, armed)
        if recovered is None:
            self.events.add("map-unsettled", group, "not all ranks could be armed")
            return
        self.events.add("map-finished", group, f"version {armed.version}")
        await self._release_all(recovered)

    async def _revoke_promise(self, group: str, view: GroupView) -> bool:
        """
        Release a pass that was promised to a planner that is unreachable.

        All other agents except the planner's must first confirm that their ranks are
        not armed and promise to refuse the planner. No rank is armed then, since the
        planner arms its own rank last. If this agent has already begun to complete the
        change, it continues with that instead.
        """
        held = self.controller.promised_pass
        planner = self.controller.promised_to
        if (
            not planner
            or not self._is_promise_held(view)
            or self.controller.recovering_pass == held
        ):
            return False
        other_agents = [a for a in self.peers.addresses(group) if a != planner]
        if len(other_agents) != view.members[0].state.size - 1:
            return False
        request = RevokeRequest(held.epoch, held.step, group)
        answers = await self.peers.call(
            REVOKE_PATH, dict.fromkeys(other_agents, request), OrderAnswer
        )
        if sum(answer.taken for answer in answers.values()) != len(other_agents):
            return False
        await self.controller.release_promised(held)
        self.events.add(
            "map-taken-back", group, f"pass {held.step}, planner is unreachable"
        )
        return True

    def _is_promise_held(self, view: GroupView) -> bool:
        """Return whether the pass that this agent promised is still held."""
        return self.controller.promised_pass in view.held_passes

    def _promised_change(self, view: GroupView) -> ArmedMap | None:
        """Return the change for which this agent promised its rank's hold."""
        prepared = {member.state.prepared for member in view.members}
        if view.held_passes != {self.controller.promised_pass} or len(prepared) != 1:
            return None
        version = prepared.pop()
        return version and ArmedMap(version, self.controller.promised_pass.step)

    async def _arm_rest(
        self, group: str, view: GroupView, armed: ArmedMap
    ) -> GroupView | None:
        """Arm the remaining ranks; return a view in which all ranks are armed."""
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

    async def _release_all(self, view: GroupView) -> None:
        for member in view.members:
            if member.state.held is not None:
                await self._release(member, member.state.held, view)

    async def _release(self, member: Member, step: int, view: GroupView) -> None:
        epoch = member.state.epoch
        engine = self.peers.fallback_engine(member, view)
        if engine is not None:
            await engine.go(epoch, step)
            return
        request = GoRequest(epoch, step, member.state.group)
        await self.peers.call_agent(member.address, GO_PATH, request, OrderAnswer)


def _is_waiting_for_pass(view: GroupView, armed: ArmedMap) -> bool:
    """Return whether all ranks are armed and only the pass has yet to begin."""
    return not view.held_passes and all_armed(view.members, armed)


def _expected_progress(state: RankState | None) -> tuple[object, ...]:
    """
    Return the epoch and pass of a group that is expected to begin its next pass.

    Return an empty tuple if no pass is expected. A broken group makes none, and when
    it is formed again nothing is armed or held.
    """
    if state is None or not state.serving:
        return ()
    due = state.held
    if due is None and state.armed is not None:
        due = state.armed.step
    at_due = due is not None and state.step >= due - 1
    return (state.epoch, state.step) if at_due or state.running else ()


def _armed_change(view: GroupView) -> ArmedMap | None:
    """Return the change that some ranks are armed for, if they agree on it."""
    armed = {m.state.armed for m in view.members if m.state.armed is not None}
    return armed.pop() if len(armed) == 1 else None
