"""The agent's handling of orders and queries for its own rank."""

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
    MAX_PLANNER_SILENCE_SECONDS,
    MAX_RANK_BODY_BYTES,
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
"""Minimum time between two reports to an entry, which is a few passes."""
COUNT_POLL_SECONDS = 0.5
"""
How often the counts are read while no planner requests them.

Reading is cheap for the rank's own agent. With longer pauses, old choices would
count as recent.
"""
POLL_SECONDS_PER_COUNT = 0.00025
"""
Minimum of the same interval for each count that is read.

With 129 ranks, which report 4,128 counts each, a read takes an agent one to two
milliseconds, and a planner requests the counts of only a few ranks per poll.
"""
LATE_ORDER_SECONDS = 15.0
"""
Time after its start in which an agent cannot rule out orders of its predecessor.

An order without an answer may be carried out seconds later.
"""
SLOW_RANKS_TTL_SECONDS = 3.0
"""
Time since the last query of a planner after which its slow ranks expire.

A planner queries at least once a second, and more often while the group is busy.
"""


class RankController:
    """
    Forward the orders of a group's planner to the engine of one rank.

    An engine accepts orders from anyone, so the agent authorizes them: it accepts
    only planners of its rank's own group, and none with a lower fencing token than
    the highest that it has seen. Whether an order was carried out is read from the
    rank's state and not from the answer to the order.

    ``group`` is the group that the rank reported last; each group has its own
    fencing tokens. ``newest_version`` is the highest version of a map that any
    planner has sent; a rank may refuse versions up to it even after its group was
    formed again.

    Each of these identifies a pass together with its epoch:

    * ``promised_pass``: the agent promised a planner that this pass stays held.
    * ``withdrawn_pass``: the last pass that was released instead.
    * ``arming_pass``: the last pass that the rank was ordered to be armed for.
    * ``revoked_pass``: the last pass for which the agent refuses to arm the rank
      when a planner requests it.
    * ``recovering_pass``: the last pass for which this agent began to arm other
      ranks in place of a planner.
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
        """Return the routes that planners, other agents and entries call."""
        return [
            json_route(QUERY_PATH, RankQuery, self.query),
            json_route(STAGE_PATH, StageRequest, self.stage, MAX_RANK_BODY_BYTES),
            json_route(ACCEPT_PATH, AcceptRequest, self.accept),
            json_route(WITHDRAW_PATH, WithdrawRequest, self.withdraw),
            json_route(ARM_PATH, ArmRequest, self.arm),
            json_route(REVOKE_PATH, RevokeRequest, self.revoke),
            json_route(GO_PATH, GoRequest, self.go),
            Route("GET", GROUP_PATH, self.reporter.handle),
        ]

    @property
    def fence(self) -> int:
        """Return the highest fencing token seen in the rank's current group."""
        return self.fences.get(self.group, NO_FENCE)

    def report(self) -> GroupReport:
        """Return the report on the group that entries receive."""
        planner_active = (
            anyio.current_time() - self.planner_seen_at <= SLOW_RANKS_TTL_SECONDS
        )
        return GroupReport(
            self.serving, self.slow_ranks if planner_active else {}, self.group
        )

    async def query(self, request: RankQuery) -> RankAnswer:
        """Return the rank's state and the optional parts that were requested."""
        state = await self.own_state()
        if not self._is_member(request.group):
            return RankAnswer(True, state, newest_version=self.newest_version)
        if request.fence != NO_FENCE:
            if not self._accepts_planner(request.group, request.fence):
                return RankAnswer(False)
            self.planner_seen_at = anyio.current_time()
            self.slow_ranks = self.slow_ranks if request.slow is None else request.slow
        if state is None:
            return RankAnswer(True)
        try:
            counts = await self._read_counts() if request.with_counts else []
            experts: list[list[int]] = []
            if request.with_experts:
                experts = await self.engine.experts(state.map_version)
        except RankError as error:
            logger.debug("rank: counts or experts not read: {}", error)
            return RankAnswer(True)
        silence = min(
            anyio.current_time() - self.planner_seen_at, MAX_PLANNER_SILENCE_SECONDS
        )
        unit = self.demand.count_unit() if counts else 1.0
        return RankAnswer(
            True, state, counts, experts, silence, unit, self.newest_version
        )

    async def stage(self, request: StageRequest) -> OrderAnswer:
        """Order the rank to load the experts that it lacks for a map."""
        if not self._accepts_planner(request.group, request.fence):
            return OrderAnswer(False)
        self.newest_version = max(self.newest_version, request.version)
        base = self.layers_by_version.get((request.epoch, request.base))
        if base is None and request.dealt is not None:
            base = round_robin_layers(request.dealt)
        layers = request.layers
        if not layers and base is not None:
            layers = apply_differences(base, request.differences)
        if not layers:
            return OrderAnswer(False, lacks_base=True)
        self._store_layers(request, layers)
        taken = await self.engine.prepare(request.epoch, request.version, layers)
        return OrderAnswer(taken)

    async def accept(self, request: AcceptRequest) -> OrderAnswer:
        """Promise a planner that a pass stays held if the rank holds it now."""
        state = await self.own_state()
        if not self._accepts_planner(request.group, request.fence):
            return OrderAnswer(False)
        held = PassId(request.epoch, request.step)
        if (
            state is None
            or PassId.held_by(state) != held
            or self.withdrawn_pass == held
        ):
            return OrderAnswer(False, state)
        self.promised_pass, self.promised_to = held, request.planner
        return OrderAnswer(True, state)

    async def release_unpromised(self, held: PassId) -> bool:
        """
        Release a held pass unless it was promised; return whether it was released.

        No rank is armed for an unpromised pass, and none will be once it is released.
        """
        if self.promised_pass == held:
            return False
        self.withdrawn_pass = held
        await self.engine.go(held.epoch, held.step)
        state = await self.own_state()
        return state is not None and PassId.held_by(state) != held

    async def withdraw(self, request: WithdrawRequest) -> OrderAnswer:
        """Promise a planner that a pass not promised so far will never be."""
        held = PassId(request.epoch, request.step)
        if self._accepts_planner(request.group, request.fence):
            await self.release_unpromised(held)
        return OrderAnswer(self.withdrawn_pass == held)

    async def arm(self, request: ArmRequest) -> OrderAnswer:
        """Order the rank to switch to a loaded map when a pass begins."""
        if not self._accepts_planner(request.group, request.fence):
            return OrderAnswer(False)
        due = PassId(request.epoch, request.step)
        if self.revoked_pass == due and not request.finishes:
            return OrderAnswer(False, await self.own_state())
        self.arming_pass = due
        await self.engine.arm(request.epoch, request.version, request.step)
        state = await self.own_state()
        armed = ArmedMap(request.version, request.step)
        return OrderAnswer(state is not None and state.armed == armed, state)

    async def revoke(self, request: RevokeRequest) -> OrderAnswer:
        """
        Promise to refuse planners' requests to arm the rank for a pass.

        Decline if the rank is armed, if the agent has ordered that for this pass, or
        if its predecessor may have done so.
        """
        due = PassId(request.epoch, request.step)
        state = await self.own_state()
        orders_unknown = anyio.current_time() < self.started + LATE_ORDER_SECONDS
        armed = state is None or state.armed is not None
        if (
            not self._is_member(request.group)
            or armed
            or orders_unknown
            or self.arming_pass == due
        ):
            return OrderAnswer(False, state)
        self.revoked_pass = due
        return OrderAnswer(True, state)

    async def release_promised(self, held: PassId) -> None:
        """Release a promised pass for which no rank is armed and none will be."""
        self.promised_pass, self.withdrawn_pass = None, held
        await self.engine.go(held.epoch, held.step)

    async def go(self, request: GoRequest) -> OrderAnswer:
        """Order the rank to release a pass that it holds."""
        if not self._is_member(request.group):
            return OrderAnswer(False)
        await self.engine.go(request.epoch, request.step)
        state = await self.own_state()
        return OrderAnswer(state is not None and state.held != request.step, state)

    async def own_state(self) -> RankState | None:
        """Return the rank's state, or ``None`` if it cannot be read."""
        try:
            return await self._read_state()
        except RankError as error:
            logger.debug("rank: state not read: {}", error)
            return None

    async def poll_counts(self) -> None:
        """Read the rank's counts periodically until cancelled."""
        while True:
            counts_length = len(self.demand.totals)
            await anyio.sleep(
                max(COUNT_POLL_SECONDS, counts_length * POLL_SECONDS_PER_COUNT)
            )
            try:
                await self._read_counts()
            except RankError as error:
                logger.debug("rank: counts not read: {}", error)

    async def _read_counts(self) -> list[int]:
        self.demand.update(anyio.current_time(), await self.engine.counts())
        return self.demand.recent_counts()

    def _store_layers(self, request: StageRequest, layers: Layers) -> None:
        """Store a map and keep its base, both of the current epoch only."""
        kept = {request.base, request.version}
        self.layers_by_version[request.epoch, request.version] = layers
        self.layers_by_version = {
            key: stored
            for key, stored in self.layers_by_version.items()
            if key[0] == request.epoch and key[1] in kept
        }

    async def _read_state(self) -> RankState:
        """Return the rank's state, confirmed if it names another group than before."""
        try:
            state = await self.engine.state()
            if self.group not in (ANY_GROUP, state.group):
                state = await self.engine.state(new_connection=True)
        except RankError:
            self.serving = None
            raise
        self.serving = state.serving
        if state.group != self.group:
            self._join_group(state.group)
        return state

    def _join_group(self, group: str) -> None:
        """Clear the state that belongs to the group that the rank has left."""
        logger.info(
            "rank: joined group {}, was in {}", group, self.group or "no known group"
        )
        self.group = group
        self.planner_seen_at = NEVER
        self.promised_pass = self.withdrawn_pass = self.recovering_pass = None
        self.arming_pass = self.revoked_pass = None
        self.layers_by_version, self.slow_ranks = {}, {}

    def _is_member(self, group: str) -> bool:
        return group in (ANY_GROUP, self.group)

    def _accepts_planner(self, group: str, fence: int) -> bool:
        if not self._is_member(group):
            logger.info(
                "rank: refused a planner of group {}, the rank is in {}",
                group,
                self.group,
            )
            return False
        if fence < self.fence:
            logger.info(
                "rank: refused a planner with fencing token {}, the highest is {}",
                fence,
                self.fence,
            )
            return False
        self.fences[self.group] = fence
        return True
