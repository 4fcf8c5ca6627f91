"""Which agent plans the maps of a group."""

import anyio
from loguru import logger

from briarthread_agent.ranks.rank_keeper import RankKeeper
from briarthread_agent.ranks.rank_peers import RankPeers
from briarthread_common.core.exceptions import PlatformError
from briarthread_common.direct.platform_adapter import PlatformStore
from briarthread_common.messages.rank_messages import (
    ANY_GROUP,
    NO_FENCE,
    RankQuery,
)
from briarthread_common.utils.hashing import rendezvous_order

SILENCE_SECONDS = 2.0
"""Silence of a planner after which the next agent in order takes its place; a
planner asks several times a second, and once a second while its group is idle."""
STAGGER_SECONDS = 0.5
"""Additional silence for each place further back in the order."""
LOOK_SECONDS = 0.5
KNOWN_SHARE = 0.8
"""Part of a group's agents that are known to one that takes its seat at once; the
rest may be dead."""

LEAST_ANSWERED = 2
"""Agents, itself among them, that must answer one that takes the seat: who reaches
nobody is cut off itself, and would take it once the cut is over."""


class PlannerSeat:
    """
    Hold the duty of planning, or wait until its holder falls silent.

    The seat is one row of the platform's store, taken by compare-and-set. It
    has no expiry: its holder keeps it while the platform is away, and whoever
    takes it over has a higher fencing number, which every agent checks. An
    agent that was cut off has heard nothing either, so it asks others first.
    """

    def __init__(
        self, name: str, store: PlatformStore, keeper: RankKeeper, peers: RankPeers
    ) -> None:
        self.name = name
        self.store = store
        self.keeper = keeper
        self.peers = peers
        self.group = ANY_GROUP
        self.fence = NO_FENCE
        self.started = anyio.current_time()

    def held(self) -> bool:
        """Tell whether this agent plans its group and no newer planner was heard."""
        own = self.group == self.keeper.group
        return own and self.fence != NO_FENCE and self.keeper.fence <= self.fence

    async def wait(self, group: str, size: int) -> int | None:
        """
        Return the fencing number once the seat of a group is this agent's.

        Return ``None`` when its rank has left the group.
        """
        while not self.held():
            if self.keeper.group != group:
                return None
            if self._silence() > self._patience(group, size):
                await self._take_unless_heard(group, size)
            if not self.held():
                await anyio.sleep(LOOK_SECONDS)
        return self.fence

    async def _take_unless_heard(self, group: str, size: int) -> None:
        view = await self.peers.view(group, RankQuery())
        if any(m.answer.planner_silence < SILENCE_SECONDS for m in view.members):
            self.keeper.planner_heard = anyio.current_time()
            return
        answered = {member.address for member in view.members} - view.silent
        if len(answered) < min(size, LEAST_ANSWERED):
            logger.debug("planner: {} agents answer, no seat is taken", len(answered))
            return
        await self._take(group)

    async def _take(self, group: str) -> None:
        try:
            fence = await self.store.acquire_role(f"maps/{group}", self.name)
        except PlatformError as error:
            logger.debug("planner: seat not taken: {}", error)
            return
        if fence is not None and fence > self.keeper.fence:
            self.group, self.fence = group, fence
            logger.info("planner: plans {} as number {}", group, fence)

    def _silence(self) -> float:
        return anyio.current_time() - max(self.keeper.planner_heard, self.started)

    def _patience(self, group: str, size: int) -> float:
        """
        Return the silence after which this agent takes the seat.

        One that knows but a part of its peers may not be the first of them, and
        when a whole deployment starts that is so of all.
        """
        names = list(self.peers.agents(group))
        order = rendezvous_order(f"maps/{group}", names)
        place = order.index(self.name) if self.name in order else len(order)
        first_ever = self.keeper.fence == NO_FENCE and len(names) >= size * KNOWN_SHARE
        first = 0.0 if first_ever else SILENCE_SECONDS
        return first + STAGGER_SECONDS * (place + 1)
