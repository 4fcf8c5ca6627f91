"""
The change of a group's map, from staging to the pass from which it is active.

Every rank must use the same map in a pass, so either all ranks switch at the same
pass or none does. The following steps ensure this whichever agent crashes or
freezes, and also if an unanswered order is carried out late:

1. Every rank loads the experts that it lacks and reports that it has.
2. The planner orders a rank on another instance to hold the pass at which the map
   is to change. The group cannot begin that pass until the rank releases it.
3. The agent of that rank promises that the pass stays held.
4. Every rank is armed for that pass and reports it, the planner's own rank last.
5. The holding rank is ordered to release the pass.

If an agent does not respond but its engine does, the planner orders the engine
directly and relies on the engine's report, as MapChangeRecovery does. Otherwise one
agent that restarts would prevent any change of its group's map.

A rank cannot be armed for a pass that has begun, so a delayed arm order fails.
Before the promise no rank is armed, and the agent of the holding rank releases the
pass if no planner requests the promise: the planner may be frozen, and a rank on
the planner's instance would then be unreachable. After the promise, any agent that
finds a pass held or a rank armed completes the change by the same steps, see
MapChangeRecovery. The change is not rolled back from then on, so agents cannot
disagree about it.

There is one exception, for a planner whose instance freezes or is disconnected right
after the promise, when nobody can arm the planner's own rank. If all other agents
confirm that they have not begun to arm their ranks, and promise to refuse to do so
for a planner, no rank is armed and none will be. The agent that gave the promise
then releases the pass.

Normally the pass is released before the group reaches it.
"""

import math
from collections.abc import Collection

import anyio
from loguru import logger

from briarthread_agent.ranks.group_caller import MAX_DIRECT_CALLS
from briarthread_agent.ranks.group_view import GroupView, Member
from briarthread_agent.ranks.map_change import MapChange
from briarthread_agent.ranks.map_stager import MapStager
from briarthread_agent.ranks.rank_controller import RankController
from briarthread_agent.ranks.rank_peers import RankPeers
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import RankError
from briarthread_common.direct.rank_client import RankClient
from briarthread_common.direct.rank_state import ArmedMap, RankState
from briarthread_common.messages.rank_messages import (
    ACCEPT_PATH,
    ARM_PATH,
    GO_PATH,
    WITHDRAW_PATH,
    AcceptRequest,
    ArmRequest,
    GoRequest,
    OrderAnswer,
    RankQuery,
    WithdrawRequest,
)

STAGE_TIMEOUT_SECONDS = 4.0
"""
Longest wait for all ranks to load a map.

Loading three experts per set takes less than one second, and full maps are sent to
a few ranks at a time.
"""
LEAD_SECONDS = 0.3
"""
Time between the planning of a change and the pass at which it becomes active.

Holding the pass and arming every rank takes about ten calls of a few milliseconds,
and one of them may have to be repeated.
"""
LEAD_SECONDS_PER_RANK = 0.001
"""
Addition to the lead time for each rank of a large group.

Such a group is armed through relays, which takes the planner and each relay about a
dozen more calls.
"""
LOSSY_LEAD_SECONDS = 0.8
"""
Lead time while orders are lost or engines are called without their agents.

Engines called directly report a few hundred milliseconds late. An unanswered order
is repeated after 0.15 s, and a hold that lasts into its pass delays every stream at
once.
"""
LOSS_MEMORY_SECONDS = 10.0
"""Time after a lost order in which further losses are expected."""
MIN_LEAD_PASSES = 4
"""Minimum lead in passes, for a group whose passes are short or that is idle."""
RETRY_PAUSE_SECONDS = 0.05
HOLD_TIMEOUT_SECONDS = 0.4
"""
Longest wait for an unanswered hold order to take effect.

A hold that takes effect later was not promised to anyone, so its agent releases it.
"""
MAX_HOLD_ATTEMPTS = 3
"""
Number of ranks that are tried as holder for one change.

All ranks have loaded the map by then. While orders are lost, starting the change
over costs another one or two seconds.
"""
COMPLETION_TIMEOUT_SECONDS = 8.0
"""Time after which an incomplete change is left to MapChangeRecovery."""


class MapChangeCoordinator:
    """Coordinate changes of a group's map."""

    def __init__(
        self, controller: RankController, peers: RankPeers, events: EventLog
    ) -> None:
        self.controller = controller
        self.peers = peers
        self.events = events
        self.last_order_lost_at = float("-inf")

    async def activate(
        self,
        view: GroupView,
        fence: int,
        change: MapChange,
        pass_seconds: float,
    ) -> bool:
        """Activate a map; return whether it will become active."""
        group = view.members[0].state.group
        version = change.version
        if not await self._stage(view, fence, change):
            self.events.add("map-not-staged", group, f"version {version}")
            return False
        for attempt in range(MAX_HOLD_ATTEMPTS):
            current = await self.peers.view(group, RankQuery(fence))
            if current.fault or current.epoch != view.epoch or current.change_pending:
                self.events.add(
                    "map-dropped", group, current.fault or "the group has changed"
                )
                return False
            lead_passes = self._count_lead_passes(pass_seconds, current)
            armed = ArmedMap(version, current.step + lead_passes)
            holder, engine = await self._choose_holder(current, attempt)
            if holder is None or engine is None or self.controller.fence > fence:
                return False
            planner = "" if current.unresponsive else await self._own_address(current)
            request = AcceptRequest(fence, current.epoch, armed.step, group, planner)
            if await self._hold(holder, engine, request):
                return await self._arm_and_release(current, armed, holder, request)
            self.events.add("map-not-held", group, f"version {version}")
            if not await self._withdraw(holder, request):
                return await self._resume_promised(current, armed, holder, request)
        return False

    async def _own_address(self, view: GroupView) -> str:
        """Return the address of this planner's agent, or an empty string."""
        own = await self.controller.own_state()
        if own is None or own.rank >= len(view.members):
            return ""
        return view.members[own.rank].address

    async def _resume_promised(
        self, view: GroupView, armed: ArmedMap, holder: Member, request: AcceptRequest
    ) -> bool:
        """
        Complete a change if its pass was promised but the answer was not received.

        A planner that continues after a freeze learns of the promise here. Without
        this, a group of 32 ranks stalled for another 1.7 s until another agent had
        completed the change.
        """
        answer = await self.peers.call_agent(
            holder.address, ACCEPT_PATH, request, OrderAnswer
        )
        if answer is None or not answer.taken:
            return False
        return await self._arm_and_release(view, armed, holder, request)

    def _count_lead_passes(self, pass_seconds: float, view: GroupView) -> int:
        """Return the number of passes until the change is to become active."""
        ranks = len(view.members)
        lossy = anyio.current_time() - self.last_order_lost_at < LOSS_MEMORY_SECONDS
        seconds = LOSSY_LEAD_SECONDS if lossy or view.unresponsive else LEAD_SECONDS
        if ranks > MAX_DIRECT_CALLS:
            seconds += ranks * LEAD_SECONDS_PER_RANK
        return max(MIN_LEAD_PASSES, math.ceil(seconds / max(pass_seconds, 0.001)))

    def _record_lost_order(self) -> None:
        self.last_order_lost_at = anyio.current_time()

    async def _arm_and_release(
        self,
        view: GroupView,
        armed: ArmedMap,
        holder: Member,
        promise_request: AcceptRequest,
    ) -> bool:
        """Arm every rank for a pass that is promised to be held, then release it."""
        group = view.members[0].state.group
        description = f"version {armed.version} from pass {armed.step}"
        if not await self._arm_all(view, armed, promise_request):
            self.events.add("map-unsettled", group, description)
            return False
        await self._release(holder, GoRequest(view.epoch, armed.step, group))
        self.events.add("map-moves", group, description)
        return True

    async def _stage(self, view: GroupView, fence: int, change: MapChange) -> bool:
        """Order every rank to load a map; return whether all have loaded it."""
        stager = MapStager(self.peers, view, fence, change)
        staged = False
        with anyio.move_on_after(STAGE_TIMEOUT_SECONDS):
            staged = await stager.run()
        if stager.repeated:
            self._record_lost_order()
        return staged

    async def _hold(
        self, holder: Member, engine: RankClient, request: AcceptRequest
    ) -> bool:
        """Order a rank to hold a pass; return whether its agent promised the hold."""
        if not await engine.hold(request.epoch, request.step):
            self._record_lost_order()
        with anyio.move_on_after(HOLD_TIMEOUT_SECONDS):
            while self.controller.fence <= request.fence:
                answer = await self.peers.call_agent(
                    holder.address, ACCEPT_PATH, request, OrderAnswer
                )
                if answer is not None and answer.taken:
                    return True
                if answer is not None and _is_too_late(
                    answer.state, request.epoch, request.step
                ):
                    return False
                await anyio.sleep(RETRY_PAUSE_SECONDS)
        return False

    async def _withdraw(self, holder: Member, request: AcceptRequest) -> bool:
        """
        Return whether the agent of a rank that did not hold will never promise it.

        The request for the promise may have timed out, and the hold may still take
        effect. No change for another pass may begin meanwhile.
        """
        answer = await self.peers.call_agent(
            holder.address,
            WITHDRAW_PATH,
            WithdrawRequest(request.fence, request.epoch, request.step, request.group),
            OrderAnswer,
        )
        return answer is not None and answer.taken

    async def _choose_holder(
        self, view: GroupView, attempt: int
    ) -> tuple[Member | None, RankClient | None]:
        """Return the rank that is to hold, preferably on another instance."""
        own = await self.controller.own_state()
        first = (0 if own is None else own.rank + 1 + attempt) % len(view.members)
        for member in (*view.members[first:], *view.members[:first]):
            engine = self.peers.engine_of_agent(member.address)
            if engine is not None and member.address not in view.unresponsive:
                return member, engine
        return None, None

    async def _arm_all(
        self, view: GroupView, armed: ArmedMap, promise_request: AcceptRequest
    ) -> bool:
        """
        Arm every rank, the planner's own after all others.

        The agent that promised the pass relies on this order if the request for the
        promise contained the planner's address.
        """
        fence, epoch, group = (
            promise_request.fence,
            promise_request.epoch,
            promise_request.group,
        )
        request = ArmRequest(fence, epoch, armed.version, armed.step, group)
        unarmed = {member.address for member in view.members}
        with anyio.move_on_after(COMPLETION_TIMEOUT_SECONDS):
            while unarmed and self.controller.fence <= fence:
                due = unarmed - {promise_request.planner} or unarmed
                requests = dict.fromkeys(due - view.unresponsive, request)
                answers = await self.peers.call(ARM_PATH, requests, OrderAnswer)
                answers |= await self._arm_engines(due & view.unresponsive, request)
                if _is_arming_impossible(answers, armed, epoch):
                    return False
                unarmed -= {name for name, answer in answers.items() if answer.taken}
                if due & unarmed:
                    self._record_lost_order()
                    await anyio.sleep(RETRY_PAUSE_SECONDS)
        return not unarmed

    async def _arm_engines(
        self, agents: Collection[str], request: ArmRequest
    ) -> dict[str, OrderAnswer]:
        """Arm the engines of unresponsive agents; return the states they report."""
        armed = ArmedMap(request.version, request.step)

        async def arm(engine: RankClient) -> OrderAnswer:
            await engine.arm(request.epoch, request.version, request.step)
            try:
                state = await engine.state()
            except RankError as error:
                logger.info("rank: state after the arm order is unknown: {}", error)
                return OrderAnswer(False)
            return OrderAnswer(state.armed == armed, state)

        return await self.peers.call_engines(agents, arm)

    async def _release(self, holder: Member, request: GoRequest) -> None:
        with anyio.move_on_after(COMPLETION_TIMEOUT_SECONDS):
            while True:
                answer = await self.peers.call_agent(
                    holder.address, GO_PATH, request, OrderAnswer
                )
                if answer is not None and answer.taken:
                    return
                self._record_lost_order()
                await anyio.sleep(RETRY_PAUSE_SECONDS)


def _is_too_late(state: RankState | None, epoch: int, step: int) -> bool:
    """Return whether it is too late to hold a pass or to arm for it."""
    return state is not None and (state.epoch != epoch or state.step >= step)


def _is_arming_impossible(
    answers: dict[str, OrderAnswer], armed: ArmedMap, epoch: int
) -> bool:
    """Return whether the group was formed again or began the pass already."""
    return any(
        not answer.taken and _is_too_late(answer.state, epoch, armed.step)
        for answer in answers.values()
    )


def all_armed(members: tuple[Member, ...], armed: ArmedMap) -> bool:
    """Return whether every rank is armed for the given map and pass."""
    return all(member.state.armed == armed for member in members)
