"""
The change of a group's map, from staging to the pass at which it is in force.

Every rank must work from the same map in every pass, so all must switch at the
same pass or none. The order of steps makes that hold whoever dies or freezes,
and whatever order stays unanswered and is carried out late:

1. every rank loads what it lacks, and says so;
2. the planner has a rank on another instance hold the pass at which the map is
   to change; the group cannot begin that pass before it is told to go;
3. that rank's agent promises that it stays held;
4. every rank is armed for that pass, and says so, the planner's own last;
5. the holding rank is told to go.

Where an agent is silent though its engine works, the planner orders the engine
itself and believes its report, as MapChangeRecovery does; else one agent that restarts
would keep its group's map as it is.

A pass that has begun takes no more arms, so a late copy of one fails. Until the
promise is given no rank is armed, and the holding rank's agent lets the pass go
when no planner asks for the promise: the planner may be frozen, and a rank on
its own instance could then not be told anything. After the promise, whoever
finds a pass held or a rank armed brings the change to its end by the same
steps, see MapChangeRecovery: nobody goes back then, and so nobody can disagree. There
is one way back, for a planner whose instance is frozen or cut off right after the
promise, so that its own rank cannot be armed by anyone: while all other agents say
that they have not begun to arm, and promise not to for a planner, no rank is armed
and none will be. The agent that gave the promise then lets the pass go.
When all goes well the pass is let go before the group reaches it.
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
"""Longest wait for all ranks to load: three experts a set take under one, and
whole maps go out to a few ranks at a time."""
LEAD_SECONDS = 0.3
"""How far ahead the pass of the change lies: holding it and arming every rank
takes some ten calls of a few milliseconds, and one may have to be made anew."""
LEAD_SECONDS_PER_RANK = 0.001
"""The same for each rank: a large group is armed by way of some of its agents,
which takes each of them and the planner some dozen calls more."""
LOSSY_LEAD_SECONDS = 0.8
"""The same while orders are lost, or engines without an agent report some hundred
milliseconds late: an order that stays unanswered is made again after 0.15 s, and a
hold that lasts into its pass makes every stream late at once."""
LOSS_MEMORY_SECONDS = 10.0
"""How long after a lost order more are expected."""
MIN_LEAD_PASSES = 4
"""The same as a number of passes, for a group that is fast or idle."""
RETRY_SECONDS = 0.05
HOLD_TIMEOUT_SECONDS = 0.4
"""Longest wait for a hold without an answer to show. One that comes later still
was promised to nobody, and its agent lets it go."""
MAX_HOLD_ATTEMPTS = 3
"""Ranks that are asked to hold a pass of one change. All ranks have loaded it by
then; while orders are lost, one who starts anew has lost a second or two."""
COMPLETION_TIMEOUT_SECONDS = 8.0
"""Time after which the mover leaves an unfinished change to the finisher."""


class MapChangeCoordinator:
    """Carry out one change of the group's map."""

    def __init__(
        self, controller: RankController, peers: RankPeers, events: EventLog
    ) -> None:
        self.controller = controller
        self.peers = peers
        self.events = events
        self.last_order_lost_at = float("-inf")

    async def apply(
        self,
        view: GroupView,
        fence: int,
        change: MapChange,
        pass_seconds: float,
    ) -> bool:
        """Bring a map in force; tell whether it is."""
        group = view.members[0].state.group
        version = change.version
        if not await self._stage(view, fence, change):
            self.events.add("map-not-staged", group, f"version {version}")
            return False
        for skipped in range(MAX_HOLD_ATTEMPTS):
            current = await self.peers.view(group, RankQuery(fence))
            if current.fault or current.epoch != view.epoch or current.change_pending:
                self.events.add("map-dropped", group, current.fault or "it has changed")
                return False
            ahead = self._passes_ahead(pass_seconds, current)
            armed = ArmedMap(version, current.step + ahead)
            holder, engine = await self._holder(current, skipped)
            if holder is None or engine is None or self.controller.fence > fence:
                return False
            planner = "" if current.unresponsive else await self._own_address(current)
            request = AcceptRequest(fence, current.epoch, armed.step, group, planner)
            if await self._hold(holder, engine, request):
                return await self._switch(current, armed, holder, request)
            self.events.add("map-not-held", group, f"version {version}")
            if not await self._withdraw(holder, request):
                return await self._go_on(current, armed, holder, request)
        return False

    async def _own_address(self, view: GroupView) -> str:
        """Return where the agent of this planner is called."""
        own = await self.controller.own_state()
        if own is None or own.rank >= len(view.members):
            return ""
        return view.members[own.rank].address

    async def _go_on(
        self, view: GroupView, armed: ArmedMap, holder: Member, request: AcceptRequest
    ) -> bool:
        """
        Finish a change whose pass was promised though nobody heard it here.

        A planner that wakes from a freeze is told so: before 32 ranks the group
        stood still for 1.7 s more until another agent had finished the change.
        """
        answer = await self.peers.call_agent(
            holder.address, ACCEPT_PATH, request, OrderAnswer
        )
        if answer is None or not answer.taken:
            return False
        return await self._switch(view, armed, holder, request)

    def _passes_ahead(self, pass_seconds: float, view: GroupView) -> int:
        """Return in how many passes the change is to be in force."""
        ranks = len(view.members)
        lossy = anyio.current_time() - self.last_order_lost_at < LOSS_MEMORY_SECONDS
        seconds = LOSSY_LEAD_SECONDS if lossy or view.unresponsive else LEAD_SECONDS
        if ranks > MAX_DIRECT_CALLS:
            seconds += ranks * LEAD_SECONDS_PER_RANK
        return max(MIN_LEAD_PASSES, math.ceil(seconds / max(pass_seconds, 0.001)))

    def _note_lost(self) -> None:
        self.last_order_lost_at = anyio.current_time()

    async def _switch(
        self, view: GroupView, armed: ArmedMap, holder: Member, promised: AcceptRequest
    ) -> bool:
        """Arm every rank for a pass that is held as promised, and let it go."""
        group = view.members[0].state.group
        what = f"version {armed.version} from pass {armed.step}"
        if not await self._arm_all(view, armed, promised):
            self.events.add("map-unsettled", group, what)
            return False
        await self._go(holder, GoRequest(view.epoch, armed.step, group))
        self.events.add("map-moves", group, what)
        return True

    async def _stage(self, view: GroupView, fence: int, change: MapChange) -> bool:
        """Have every rank load what it lacks; tell whether all have."""
        stager = MapStager(self.peers, view, fence, change)
        staged = False
        with anyio.move_on_after(STAGE_TIMEOUT_SECONDS):
            staged = await stager.run()
        if stager.repeated:
            self._note_lost()
        return staged

    async def _hold(
        self, holder: Member, engine: RankClient, request: AcceptRequest
    ) -> bool:
        """Have a rank hold a pass; tell whether its agent promises that it does."""
        if not await engine.hold(request.epoch, request.step):
            self._note_lost()
        with anyio.move_on_after(HOLD_TIMEOUT_SECONDS):
            while self.controller.fence <= request.fence:
                answer = await self.peers.call_agent(
                    holder.address, ACCEPT_PATH, request, OrderAnswer
                )
                if answer is not None and answer.taken:
                    return True
                if answer is not None and _is_past(
                    answer.state, request.epoch, request.step
                ):
                    return False
                await anyio.sleep(RETRY_SECONDS)
        return False

    async def _withdraw(self, holder: Member, request: AcceptRequest) -> bool:
        """
        Tell whether the agent of a rank that did not hold will never promise it.

        The question may have come too late to be answered, and the hold may still
        come; a change for another pass must not begin beside that.
        """
        answer = await self.peers.call_agent(
            holder.address,
            WITHDRAW_PATH,
            WithdrawRequest(request.fence, request.epoch, request.step, request.group),
            OrderAnswer,
        )
        return answer is not None and answer.taken

    async def _holder(
        self, view: GroupView, skipped: int
    ) -> tuple[Member | None, RankClient | None]:
        """Return the rank that is to hold, on another instance if there is one."""
        own = await self.controller.own_state()
        first = (0 if own is None else own.rank + 1 + skipped) % len(view.members)
        for member in (*view.members[first:], *view.members[:first]):
            engine = self.peers.engine_of_agent(member.address)
            if engine is not None and member.address not in view.unresponsive:
                return member, engine
        return None, None

    async def _arm_all(
        self, view: GroupView, armed: ArmedMap, promised: AcceptRequest
    ) -> bool:
        """
        Arm every rank, the planner's own once all others are armed.

        The agent that promised the pass counts on that where it was told who plans.
        """
        fence, epoch, group = promised.fence, promised.epoch, promised.group
        request = ArmRequest(fence, epoch, armed.version, armed.step, group)
        missing = {member.address for member in view.members}
        with anyio.move_on_after(COMPLETION_TIMEOUT_SECONDS):
            while missing and self.controller.fence <= fence:
                due = missing - {promised.planner} or missing
                asked = dict.fromkeys(due - view.unresponsive, request)
                answers = await self.peers.call(ARM_PATH, asked, OrderAnswer)
                answers |= await self._arm_engines(due & view.unresponsive, request)
                if _cannot_be_armed(answers, armed, epoch):
                    return False
                missing -= {name for name, answer in answers.items() if answer.taken}
                if due & missing:
                    self._note_lost()
                    await anyio.sleep(RETRY_SECONDS)
        return not missing

    async def _arm_engines(
        self, silent: Collection[str], request: ArmRequest
    ) -> dict[str, OrderAnswer]:
        """Arm the engines beside silent agents; return what they then report."""
        armed = ArmedMap(request.version, request.step)

        async def arm(engine: RankClient) -> OrderAnswer:
            await engine.arm(request.epoch, request.version, request.step)
            try:
                state = await engine.state()
            except RankError as error:
                logger.info("rank: not known to be armed: {}", error)
                return OrderAnswer(False)
            return OrderAnswer(state.armed == armed, state)

        return await self.peers.call_engines(silent, arm)

    async def _go(self, holder: Member, request: GoRequest) -> None:
        with anyio.move_on_after(COMPLETION_TIMEOUT_SECONDS):
            while True:
                answer = await self.peers.call_agent(
                    holder.address, GO_PATH, request, OrderAnswer
                )
                if answer is not None and answer.taken:
                    return
                self._note_lost()
                await anyio.sleep(RETRY_SECONDS)


def _is_past(state: RankState | None, epoch: int, step: int) -> bool:
    """Tell whether a pass cannot be held any more."""
    return state is not None and (state.epoch != epoch or state.step >= step)


def _cannot_be_armed(
    answers: dict[str, OrderAnswer], armed: ArmedMap, epoch: int
) -> bool:
    """Tell whether the group formed anew, or began the pass without the change."""
    return any(
        not answer.taken and _is_past(answer.state, epoch, armed.step)
        for answer in answers.values()
    )


def all_armed(members: tuple[Member, ...], armed: ArmedMap) -> bool:
    """Tell whether every rank is armed alike."""
    return all(member.state.armed == armed for member in members)
