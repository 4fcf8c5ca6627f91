"""Handlers for calls of planners and other agents about the engine's map."""

from briarthread_agent.maps.map_participant import Decision, MapParticipant
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import ChannelError, RequestError
from briarthread_common.http.app import Route
from briarthread_common.http.call import Call
from briarthread_common.http.channel_calls import MAX_MESSAGE_BYTES
from briarthread_common.messages.engine_order import OrderKind
from briarthread_common.messages.expert_map import NO_MAP_VERSION, ExpertMap
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


class MapHandlers:
    """
    Handle the calls about maps for a participant.

    Announcements, confirmations and requests for verdicts are processed one at a time,
    since the result of each determines the answer to the next.
    """

    def __init__(self, participant: MapParticipant) -> None:
        self.participant = participant

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
        async with self.participant.decision_lock:
            self._check_incarnation(message.incarnation)
            if (
                self.participant.pending_version
                or message.version in self.participant.refused_versions
            ):
                await call.reply_json(MapAnswer(False, 0, "another is pending"))
                return
            self._check_fence(message.fence)
            self.participant.pending_version = message.version
            self.participant.decision = Decision.ANNOUNCED
            answer = await self._order(
                message.fence, OrderKind.HOLD, message.version, message.step
            )
            if not answer.accepted:
                self.participant.refuse(message.version)
        await call.reply_json(answer)

    async def _handle_confirm(self, call: Call) -> None:
        message = await call.read_json(ConfirmMap, MAX_MESSAGE_BYTES)
        async with self.participant.decision_lock:
            self._check_incarnation(message.incarnation)
            if (
                self.participant.pending_version != message.version
                or self.participant.decision is Decision.REFUSED
            ):
                await call.reply_json(MapAnswer(False, 0, "refused before"))
                return
            if await self.participant.holds_for(message.version):
                self.participant.decision = Decision.CONFIRMED
                answer = await self._order(
                    message.fence, OrderKind.SWITCH, message.version
                )
            else:
                self.participant.refuse(message.version)
                answer = MapAnswer(False, 0, "engine does not hold for it")
        await call.reply_json(answer)

    async def _handle_verdict(self, call: Call) -> None:
        """
        Return the verdict on a version; an undecided version is refused from then on.

        Orders that the engine received from an earlier incarnation of this agent count
        too, so the engine is queried first.
        """
        message = await call.read_json(VerdictRequest, MAX_MESSAGE_BYTES)
        async with self.participant.decision_lock:
            verdict = await self._verdict(message.version)
        await call.reply_json(VerdictAnswer(verdict))

    async def _verdict(self, version: int) -> Verdict:
        if not self.participant.ready.is_set():
            return Verdict.UNKNOWN
        try:
            state = await self.participant.engine.state()
        except ChannelError:
            return Verdict.UNKNOWN
        if version in (state.version, state.scheduled):
            return Verdict.CONFIRMED
        if (
            self.participant.pending_version == version
            and self.participant.decision is Decision.CONFIRMED
        ):
            return Verdict.UNKNOWN
        self.participant.refuse(version)
        return Verdict.REFUSED

    async def _handle_standing(self, call: Call) -> None:
        if not self.participant.ready.is_set():
            raise RequestError(ErrorKind.NOT_READY, "engine is being taken over")
        try:
            state = await self.participant.engine.state()
        except ChannelError as error:
            raise RequestError(ErrorKind.NOT_READY, str(error)) from error
        decided = bool(state.scheduled)
        standing = Standing(
            self.participant.incarnation,
            state.step,
            state.version,
            scheduled=state.scheduled,
            switch_step=state.hold_step if decided else 0,
            pending=NO_MAP_VERSION if decided else state.hold_for,
        )
        await call.reply_json(standing)

    async def _handle_report(self, call: Call) -> None:
        try:
            report = await self.participant.engine.report()
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
            state = await self.participant.engine.order(
                kind, version, step, expert_map=expert_map
            )
        except (ChannelError, RequestError) as error:
            return MapAnswer(False, 0, str(error))
        return MapAnswer(True, state.step)

    def _check_incarnation(self, incarnation: str) -> None:
        """Refuse a message that was sent to an earlier agent of this target."""
        if incarnation != self.participant.incarnation:
            raise RequestError(
                ErrorKind.WRONG_INCARNATION, "message is for another incarnation"
            )

    def _check_fence(self, fence: int) -> None:
        """Refuse a planner whose lease was taken over by another one."""
        if not self.participant.ready.is_set():
            raise RequestError(ErrorKind.NOT_READY, "engine is being taken over")
        if fence < self.participant.engine.highest_fence:
            raise RequestError(ErrorKind.VERSION_CONFLICT, "outdated fencing token")
        self.participant.engine.highest_fence = fence
