"""The agent's part in keeping a group on one expert map."""

from enum import StrEnum

import anyio

from briarthread_agent.maps.engine_client import ORDER_TIMEOUT, EngineClient
from briarthread_agent.maps.group_peers import GroupPeers
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.event_log import EventLog
from briarthread_common.core.exceptions import ChannelError, RequestError
from briarthread_common.http.app import Route
from briarthread_common.http.call import Call
from briarthread_common.http.channel_calls import MAX_MESSAGE_BYTES
from briarthread_common.messages.engine_order import EngineState, OrderKind
from briarthread_common.messages.expert_map import FIRST_MAP, NO_MAP, ExpertMap
from briarthread_common.messages.map_messages import (
    ANNOUNCE_PATH,
    CONFIRM_PATH,
    STAGE_PATH,
    STANDING_PATH,
    VERDICT_PATH,
    AnnounceMap,
    ConfirmMap,
    MapAnswer,
    StageMap,
    Standing,
    Verdict,
    VerdictAnswer,
    VerdictRequest,
)
from briarthread_common.messages.map_report import REPORT_PATH
from briarthread_common.text.group import Group
from briarthread_common.text.text_view import TextView

WATCH_INTERVAL = 0.05
"""Seconds between looks at the engine while something is undecided."""
IDLE_INTERVAL = 0.5
HOLD_GRACE = 0.2
"""Seconds for which a held engine waits for the planner's confirmation."""


class Stage(StrEnum):
    """Tell how far this agent has gone with the pending version."""

    ANNOUNCED = "announced"
    CONFIRMED = "confirmed"
    REFUSED = "refused"


class MapKeeper:
    """
    Let an engine change its map only together with all ranks of its group.

    An announced version makes the engine hold before its first step. The
    planner's confirmation, which it sends once all agents have acknowledged,
    lets it go on with the new map. An agent whose engine is held without it
    asks all others: one that has seen the confirmation decides for the new
    map, promises of all others never to accept it decide for the old one,
    and anything else decides nothing, so the engine goes on holding.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        engine: EngineClient,
        text: TextView,
        peers: GroupPeers,
        events: EventLog,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.engine = engine
        self.text = text
        self.peers = peers
        self.events = events
        self.pending = NO_MAP
        self.stage = Stage.REFUSED
        self.refused: set[int] = set()
        self.ready = anyio.Event()
        self.deciding = anyio.Lock()

    def routes(self) -> list[Route]:
        """Return the routes that planners and other agents call."""
        return [
            Route("POST", STAGE_PATH, self._handle_stage),
            Route("POST", ANNOUNCE_PATH, self._handle_announce),
            Route("POST", CONFIRM_PATH, self._handle_confirm),
            Route("POST", VERDICT_PATH, self._handle_verdict),
            Route("GET", STANDING_PATH, self._handle_standing),
            Route("GET", REPORT_PATH, self._handle_report),
        ]

    def group(self) -> Group | None:
        """Return the group that this agent's target belongs to."""
        return self.text.current().group_of(self.name)

    async def run(self) -> None:
        """Take the engine over, then settle whatever holds it."""
        while self.group() is None:
            await anyio.sleep(IDLE_INTERVAL)
        await self._take_over()
        while True:
            try:
                await self._look_after()
            except ChannelError as error:
                self.events.add("map-wait", self.name, str(error))
            pause = WATCH_INTERVAL if self.pending else IDLE_INTERVAL
            await anyio.sleep(pause)

    async def _take_over(self) -> None:
        """
        Shut out orders that the last agent of this slot may still have sent.

        An engine that checks fencing refuses them from the first order on.
        One that ignores it is given the time in which they can arrive.
        """
        await anyio.sleep(ORDER_TIMEOUT)
        while True:
            try:
                await self.engine.order(OrderKind.FENCE)
                break
            except ChannelError:
                await anyio.sleep(IDLE_INTERVAL)
        self.ready.set()

    async def _look_after(self) -> None:
        state = await self.engine.state()
        if state.hold_for and not state.scheduled:
            self._adopt(state)
            await self._look_after_hold(state)
        elif state.version == NO_MAP:
            await self._join()
        elif state.hold_for == NO_MAP and self.stage is not Stage.ANNOUNCED:
            self.pending = NO_MAP

    async def _look_after_hold(self, state: EngineState) -> None:
        if self.stage is Stage.CONFIRMED:
            await self.engine.order(OrderKind.SWITCH, state.hold_for)
        elif self.stage is Stage.REFUSED:
            await self._settle(state.hold_for)
        elif state.held:
            await anyio.sleep(HOLD_GRACE)
            await self._settle(state.hold_for)

    def _adopt(self, state: EngineState) -> None:
        """Take up a hold that the last agent of this slot has set."""
        if self.pending != state.hold_for:
            self.pending = state.hold_for
            self._refuse(state.hold_for)

    def _refuse(self, version: int) -> None:
        self.refused.add(version)
        if version == self.pending:
            self.stage = Stage.REFUSED

    async def _settle(self, version: int) -> None:
        """Find out together with all others what becomes of a version."""
        async with self.deciding:
            if self.pending != version or self.stage is Stage.CONFIRMED:
                return
            self._refuse(version)
        verdicts = await self.peers.verdicts(self.group(), version)
        if Verdict.CONFIRMED in verdicts:
            await self._decide(version, OrderKind.SWITCH, "another had confirmed it")
        elif all(verdict is Verdict.REFUSED for verdict in verdicts):
            await self._decide(version, OrderKind.RESUME, "nobody had confirmed it")

    async def _decide(self, version: int, kind: OrderKind, reason: str) -> None:
        if not await self._holds_for(version):
            return
        await self.engine.order(kind, version)
        if kind is OrderKind.SWITCH:
            self.stage = Stage.CONFIRMED
        else:
            self.pending = NO_MAP
        self.events.add(f"map-{kind}", f"map/{version}", reason)

    async def _holds_for(self, version: int) -> bool:
        """
        Tell whether the engine holds for a version, or is to switch to it.

        One that was replaced meanwhile holds for nothing. If it ignores
        fencing it might take a switch all the same, ahead of the others.
        """
        try:
            state = await self.engine.state()
        except ChannelError:
            return False
        return state.hold_for == version

    async def _join(self) -> None:
        """
        Give a rank that has just started the map of its group.

        What is pending is settled first. What is decided for a later step
        is loaded as such, or this rank would be ahead of the others.
        """
        standings = await self.peers.standings(self.group())
        if standings is None:
            return
        pending = {row.pending for row in standings if row.pending}
        for version in pending:
            await self._settle_for_join(version)
        loaded = {
            (row.version, row.scheduled, row.switch_step)
            for row in standings
            if row.version
        }
        if pending or len(loaded) > 1:
            return
        version, scheduled, step = loaded.pop() if loaded else (FIRST_MAP, NO_MAP, 0)
        await self.engine.order(OrderKind.LOAD, version, step, scheduled)
        self.events.add("map-load", f"map/{version}", "as the rest of the group")

    async def _settle_for_join(self, version: int) -> None:
        """Promise to refuse a version, and make the others say what they know."""
        async with self.deciding:
            self._refuse(version)
        await self.peers.verdicts(self.group(), version)

    async def _handle_stage(self, call: Call) -> None:
        message = await call.read_json(StageMap, MAX_MESSAGE_BYTES)
        answer = await self._order(
            message.fence,
            OrderKind.STAGE,
            message.expert_map.version,
            expert_map=message.expert_map,
        )
        await call.reply_json(answer)

    async def _handle_announce(self, call: Call) -> None:
        message = await call.read_json(AnnounceMap, MAX_MESSAGE_BYTES)
        async with self.deciding:
            self._check_incarnation(message.incarnation)
            if self.pending or message.version in self.refused:
                await call.reply_json(MapAnswer(False, 0, "another is pending"))
                return
            self._check_fence(message.fence)
            self.pending = message.version
            self.stage = Stage.ANNOUNCED
            answer = await self._order(
                message.fence, OrderKind.HOLD, message.version, message.step
            )
            if not answer.accepted:
                self._refuse(message.version)
        await call.reply_json(answer)

    async def _handle_confirm(self, call: Call) -> None:
        message = await call.read_json(ConfirmMap, MAX_MESSAGE_BYTES)
        async with self.deciding:
            self._check_incarnation(message.incarnation)
            if self.pending != message.version or self.stage is Stage.REFUSED:
                await call.reply_json(MapAnswer(False, 0, "refused before"))
                return
            if await self._holds_for(message.version):
                self.stage = Stage.CONFIRMED
                answer = await self._order(
                    message.fence, OrderKind.SWITCH, message.version
                )
            else:
                self._refuse(message.version)
                answer = MapAnswer(False, 0, "engine does not hold for it")
        await call.reply_json(answer)

    async def _handle_verdict(self, call: Call) -> None:
        """
        Say what is known of a version, promising to refuse an open one.

        What this agent has told its engine counts, also if it was another
        incarnation that told it; so the engine is asked first.
        """
        message = await call.read_json(VerdictRequest, MAX_MESSAGE_BYTES)
        async with self.deciding:
            verdict = await self._verdict(message.version)
        await call.reply_json(VerdictAnswer(verdict))

    async def _verdict(self, version: int) -> Verdict:
        if not self.ready.is_set():
            return Verdict.UNKNOWN
        try:
            state = await self.engine.state()
        except ChannelError:
            return Verdict.UNKNOWN
        if version in (state.version, state.scheduled):
            return Verdict.CONFIRMED
        if self.pending == version and self.stage is Stage.CONFIRMED:
            return Verdict.UNKNOWN
        self._refuse(version)
        return Verdict.REFUSED

    async def _handle_standing(self, call: Call) -> None:
        if not self.ready.is_set():
            raise RequestError(ErrorKind.NOT_READY, "engine is being taken over")
        try:
            state = await self.engine.state()
        except ChannelError as error:
            raise RequestError(ErrorKind.NOT_READY, str(error)) from error
        decided = bool(state.scheduled)
        standing = Standing(
            self.incarnation,
            state.step,
            state.version,
            scheduled=state.scheduled,
            switch_step=state.hold_step if decided else 0,
            pending=NO_MAP if decided else state.hold_for,
        )
        await call.reply_json(standing)

    async def _handle_report(self, call: Call) -> None:
        try:
            report = await self.engine.report()
        except ChannelError as error:
            raise RequestError(ErrorKind.NOT_READY, str(error)) from error
        await call.reply_json(report)

    async def _order(
        self,
        fence: int,
        kind: OrderKind,
        version: int,
        step: int = 0,
        expert_map: ExpertMap | None = None,
    ) -> MapAnswer:
        try:
            self._check_fence(fence)
            state = await self.engine.order(kind, version, step, expert_map=expert_map)
        except (ChannelError, RequestError) as error:
            return MapAnswer(False, 0, str(error))
        return MapAnswer(True, state.step)

    def _check_incarnation(self, incarnation: str) -> None:
        """Refuse what was meant for the last agent of this slot."""
        if incarnation != self.incarnation:
            raise RequestError(ErrorKind.WRONG_INCARNATION, "for another incarnation")

    def _check_fence(self, fence: int) -> None:
        """Refuse a planner whose lease another one has taken since."""
        if not self.ready.is_set():
            raise RequestError(ErrorKind.NOT_READY, "engine is being taken over")
        if fence < self.engine.highest_fence:
            raise RequestError(ErrorKind.VERSION_CONFLICT, "old fencing number")
        self.engine.highest_fence = fence
