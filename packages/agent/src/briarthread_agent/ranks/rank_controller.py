"""The agent's side of every change of its rank's map."""

import operator

import anyio
from loguru import logger

from briarthread_agent.ranks.map_change import apply_differences, round_robin_layers
from briarthread_agent.ranks.pass_id import PassId
from briarthread_agent.ranks.rank_demand import RankDemand
from briarthread_common.core.exceptions import RankError
from briarthread_common.direct.rank_client import Layers, RankClient
from briarthread_common.direct.rank_state import ArmedMap, RankState
from briarthread_common.http.app import Route
from briarthread_common.http.json_route import json_route
from briarthread_common.http.report_stream import ReportStream
from briarthread_common.messages.group_report import GROUP_PATH, GroupReport
from briarthread_common.messages.rank_messages import (
    ACCEPT_PATH,
    ANY_GROUP,
    ARM_PATH,
    GO_PATH,
    LONG_SILENCE,
    MAX_RANK_BODY,
    NO_FENCE,
    QUERY_PATH,
    REVOKE_PATH,
    STAGE_PATH,
    WITHDRAW_PATH,
    AcceptRequest,
    ArmRequest,
    GoRequest,
    OrderAnswer,
    RankAnswer,
    RankQuery,
    RevokeRequest,
    StageRequest,
    WithdrawRequest,
)

NEVER = float("-inf")
REPORT_INTERVAL_SECONDS = 0.1
"""Shortest time between two reports to an entry: some passes."""
COUNT_POLL_SECONDS = 0.5
"""How often the counts are read where no planner asks for them; it is free at
the rank's own agent, and older choices would count as recent otherwise."""
POLL_SECONDS_PER_COUNT = 0.00025
"""The same for each number read: before 129 ranks, with 4,128 numbers each, a read
takes a millisecond or two of an agent, and few ranks are asked at a look."""
LATE_ORDER_SECONDS = 15.0
"""How long after its start an agent cannot know what the one before it ordered: an
order without an answer may be carried out seconds later."""
SLOW_RANKS_TTL_SECONDS = 3.0
"""Age past which a planner's word on slow ranks counts no more. It asks each
second at least, and more often while the group is busy."""


class RankController:
    """
    Order one rank's engine for whoever plans its group.

    An engine takes orders from anyone and does not check who gives them, so
    the agent does: it obeys the planners of its rank's own group only, and none
    with a lower fencing number than the highest that has asked it. ``group`` is
    the group that the rank named last; each has numbers of its own. What the
    rank says of itself, not the answer to an order, tells whether the order was
    carried out. ``accepted`` is the held pass that a planner was promised to find
    held, ``withdrawn`` the last one that was let go instead, ``arming`` the last one
    that the rank was ordered to be armed for, ``revoked`` the last one for which it
    will not be when a planner asks, ``finishing`` the last one for which this agent
    began to arm others in a planner's place, each with its epoch.
    ``newest_version`` is the highest version of a map that any planner has sent;
    a rank may refuse those up to it even after its group has formed anew.
    """

    def __init__(self, engine: RankClient) -> None:
        self.engine = engine
        self.group = ANY_GROUP
        self.fences: dict[str, int] = {}
        self.planner_seen_at = NEVER
        self.promised_pass: PassId | None = None
        self.promised_to = ""
        self.withdrawn_pass: PassId | None = None
        self.arming_pass: PassId | None = None
        self.revoked_pass: PassId | None = None
        self.recovering_pass: PassId | None = None
        self.recovery_lock = anyio.Lock()
        self.started = anyio.current_time()
        self.newest_version = 0
        self.demand = RankDemand()
        self.layers_by_version: dict[tuple[int, int], Layers] = {}
        self.slow_ranks: dict[str, float] = {}
        self.serving: bool | None = None
        self.reporter = ReportStream(self.report, operator.eq, REPORT_INTERVAL_SECONDS)

    def routes(self) -> list[Route]:
        """Return the routes of the planner's calls."""
        return [
            json_route(QUERY_PATH, RankQuery, self.query),
            json_route(STAGE_PATH, StageRequest, self.stage, MAX_RANK_BODY),
            json_route(ACCEPT_PATH, AcceptRequest, self.accept),
            json_route(WITHDRAW_PATH, WithdrawRequest, self.withdraw),
            json_route(ARM_PATH, ArmRequest, self.arm),
            json_route(REVOKE_PATH, RevokeRequest, self.revoke),
            json_route(GO_PATH, GoRequest, self.go),
            Route("GET", GROUP_PATH, self.reporter.handle),
        ]

    @property
    def fence(self) -> int:
        """Return the highest fencing number heard of the rank's own group."""
        return self.fences.get(self.group, NO_FENCE)

    def report(self) -> GroupReport:
        """Return what entries are told of the group."""
        heard = anyio.current_time() - self.planner_seen_at <= SLOW_RANKS_TTL_SECONDS
        return GroupReport(self.serving, self.slow_ranks if heard else {}, self.group)

    async def query(self, asked: RankQuery) -> RankAnswer:
        """Return the rank's state, and what else was asked for."""
        state = await self.own_state()
        if not self._is_member(asked.group):
            return RankAnswer(True, state, newest_version=self.newest_version)
        if asked.fence != NO_FENCE:
            if not self._obeys(asked.group, asked.fence):
                return RankAnswer(False)
            self.planner_seen_at = anyio.current_time()
            self.slow_ranks = self.slow_ranks if asked.slow is None else asked.slow
        if state is None:
            return RankAnswer(True)
        try:
            counts = await self._read_counts() if asked.with_counts else []
            experts = await self.engine.experts() if asked.with_experts else []
        except RankError as error:
            logger.debug("rank: {}", error)
            return RankAnswer(True)
        silence = min(anyio.current_time() - self.planner_seen_at, LONG_SILENCE)
        unit = self.demand.count_unit() if counts else 1.0
        return RankAnswer(
            True, state, counts, experts, silence, unit, self.newest_version
        )

    async def stage(self, asked: StageRequest) -> OrderAnswer:
        """Have the rank load what it lacks for a map."""
        if not self._obeys(asked.group, asked.fence):
            return OrderAnswer(False)
        self.newest_version = max(self.newest_version, asked.version)
        base = self.layers_by_version.get((asked.epoch, asked.base))
        if base is None and asked.dealt is not None:
            base = round_robin_layers(asked.dealt)
        layers = asked.layers
        if not layers and base is not None:
            layers = apply_differences(base, asked.differences)
        if not layers:
            return OrderAnswer(False, lacks_base=True)
        self._remember(asked, layers)
        taken = await self.engine.prepare(asked.epoch, asked.version, layers)
        return OrderAnswer(taken)

    async def accept(self, asked: AcceptRequest) -> OrderAnswer:
        """Promise a planner that the pass its rank holds stays held, if it does."""
        state = await self.own_state()
        if not self._obeys(asked.group, asked.fence):
            return OrderAnswer(False)
        held = PassId(asked.epoch, asked.step)
        if (
            state is None
            or PassId.held_by(state) != held
            or self.withdrawn_pass == held
        ):
            return OrderAnswer(False, state)
        self.promised_pass, self.promised_to = held, asked.planner
        return OrderAnswer(True, state)

    async def release_unpromised(self, held: PassId) -> bool:
        """
        Let a held pass go that no planner was promised; tell whether it went.

        No rank is armed for it then, and none will be.
        """
        if self.promised_pass == held:
            return False
        self.withdrawn_pass = held
        await self.engine.go(held.epoch, held.step)
        state = await self.own_state()
        return state is not None and PassId.held_by(state) != held

    async def withdraw(self, asked: WithdrawRequest) -> OrderAnswer:
        """Promise a planner that a pass will never be promised, if it was not."""
        held = PassId(asked.epoch, asked.step)
        if self._obeys(asked.group, asked.fence):
            await self.release_unpromised(held)
        return OrderAnswer(self.withdrawn_pass == held)

    async def arm(self, asked: ArmRequest) -> OrderAnswer:
        """Have the rank switch to a loaded map as a pass begins."""
        if not self._obeys(asked.group, asked.fence):
            return OrderAnswer(False)
        due = PassId(asked.epoch, asked.step)
        if self.revoked_pass == due and not asked.finishes:
            return OrderAnswer(False, await self.own_state())
        self.arming_pass = due
        await self.engine.arm(asked.epoch, asked.version, asked.step)
        state = await self.own_state()
        armed = ArmedMap(asked.version, asked.step)
        return OrderAnswer(state is not None and state.armed == armed, state)

    async def revoke(self, asked: RevokeRequest) -> OrderAnswer:
        """Promise never to arm the rank for a pass because a planner asks for it."""
        due = PassId(asked.epoch, asked.step)
        state = await self.own_state()
        young = anyio.current_time() < self.started + LATE_ORDER_SECONDS
        armed = state is None or state.armed is not None
        if (
            not self._is_member(asked.group)
            or armed
            or young
            or self.arming_pass == due
        ):
            return OrderAnswer(False, state)
        self.revoked_pass = due
        return OrderAnswer(True, state)

    async def release_promised(self, held: PassId) -> None:
        """Let a promised pass go for which no rank is armed and none will be."""
        self.promised_pass, self.withdrawn_pass = None, held
        await self.engine.go(held.epoch, held.step)

    async def go(self, asked: GoRequest) -> OrderAnswer:
        """Let the group begin a pass that this rank holds."""
        if not self._is_member(asked.group):
            return OrderAnswer(False)
        await self.engine.go(asked.epoch, asked.step)
        state = await self.own_state()
        return OrderAnswer(state is not None and state.held != asked.step, state)

    async def own_state(self) -> RankState | None:
        """Return the rank's state, ``None`` when it gives none."""
        try:
            return await self._read_state()
        except RankError as error:
            logger.debug("rank: {}", error)
            return None

    async def poll_counts(self) -> None:
        """Take in the rank's counts now and then, until cancelled."""
        while True:
            numbers = len(self.demand.totals)
            await anyio.sleep(max(COUNT_POLL_SECONDS, numbers * POLL_SECONDS_PER_COUNT))
            try:
                await self._read_counts()
            except RankError as error:
                logger.debug("rank: {}", error)

    async def _read_counts(self) -> list[int]:
        self.demand.update(anyio.current_time(), await self.engine.counts())
        return self.demand.recent_counts()

    def _remember(self, asked: StageRequest, layers: Layers) -> None:
        """Keep the map and the one that it changes, of this forming only."""
        kept = {asked.base, asked.version}
        self.layers_by_version[asked.epoch, asked.version] = layers
        self.layers_by_version = {
            key: known
            for key, known in self.layers_by_version.items()
            if key[0] == asked.epoch and key[1] in kept
        }

    async def _read_state(self) -> RankState:
        try:
            state = await self.engine.state()
        except RankError:
            self.serving = None
            raise
        self.serving = state.serving
        if state.group != self.group:
            self._join(state.group)
        return state

    def _join(self, group: str) -> None:
        """Forget what was heard and promised in the group that the rank has left."""
        logger.info("rank: in group {}, was in {}", group, self.group or "none known")
        self.group = group
        self.planner_seen_at = NEVER
        self.promised_pass = self.withdrawn_pass = self.recovering_pass = None
        self.arming_pass = self.revoked_pass = None
        self.layers_by_version, self.slow_ranks = {}, {}

    def _is_member(self, group: str) -> bool:
        return group in (ANY_GROUP, self.group)

    def _obeys(self, group: str, fence: int) -> bool:
        if not self._is_member(group):
            logger.info("rank: refused a planner of {}, is in {}", group, self.group)
            return False
        if fence < self.fence:
            logger.info("rank: refused planner {}, {} is newer", fence, self.fence)
            return False
        self.fences[self.group] = fence
        return True
