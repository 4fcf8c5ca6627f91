"""Selection of the agent that plans the maps of a group."""

import anyio
from loguru import logger

from briarthread_agent.ranks.rank_controller import RankController
from briarthread_agent.ranks.rank_peers import RankPeers
from briarthread_common.core.exceptions import PlatformError
from briarthread_common.direct.platform_adapter import PlatformStore
from briarthread_common.messages.rank_messages import (
    ANY_GROUP,
    MAX_PLANNER_SILENCE_SECONDS,
    NO_FENCE,
    RankQuery,
)
from briarthread_common.utils.hashing import rendezvous_order

PLANNER_TIMEOUT_SECONDS = 2.0
"""
Time without a planner's query after which the next agent in order takes the role.

A planner queries several times a second, and once a second while its group is idle.
"""
STAGGER_SECONDS = 0.5
"""Additional time for each further position in the order."""
POLL_SECONDS = 0.5
MIN_KNOWN_SHARE = 0.8
"""
Share of a group's agents that an agent must know to take the role without waiting.

The remaining agents may have failed.
"""

MIN_ANSWERS = 2
"""
Number of agents, itself included, that must answer an agent that takes the role.

An agent that reaches no other is disconnected itself, and would take the role as
soon as it is connected again.
"""


class PlannerRole:
    """
    Hold the planner role of a group, or wait until its holder stops querying.

    The role is a row in the platform's store that is acquired by compare-and-set. It
    does not expire: its holder keeps it while the platform is unavailable. An agent
    that takes it over gets a higher fencing token, which every agent checks. An agent
    that was disconnected has received no queries either, so it asks other agents
    before it takes the role.
    """

    def __init__(
        self,
        name: str,
        store: PlatformStore,
        controller: RankController,
        peers: RankPeers,
    ) -> None:
        self.name = name
        self.store = store
        self.controller = controller
        self.peers = peers
        self.group = ANY_GROUP
        self.fence = NO_FENCE
        self.started = anyio.current_time()

    def is_held(self) -> bool:
        """Return whether this agent plans its group and has seen no newer planner."""
        in_own_group = self.group == self.controller.group
        return (
            in_own_group
            and self.fence != NO_FENCE
            and self.controller.fence <= self.fence
        )

    async def acquire(self, group: str, size: int) -> int | None:
        """
        Wait for the planner role of a group and return its fencing token.

        Return ``None`` if the agent's rank has left the group.
        """
        while not self.is_held():
            if self.controller.group != group:
                return None
            if self._planner_silence() > self._takeover_delay(group, size):
                await self._take_if_vacant(group, size)
            if not self.is_held():
                await anyio.sleep(POLL_SECONDS)
        return self.fence

    async def _take_if_vacant(self, group: str, size: int) -> None:
        view = await self.peers.view(group, RankQuery())
        silence = min(
            (member.answer.planner_silence for member in view.members),
            default=MAX_PLANNER_SILENCE_SECONDS,
        )
        if silence < PLANNER_TIMEOUT_SECONDS:
            # Not now: agents that defer to each other would never end it.
            seen_at = anyio.current_time() - silence
            self.controller.planner_seen_at = max(
                self.controller.planner_seen_at, seen_at
            )
            return
        answered = {member.address for member in view.members} - view.unresponsive
        if len(answered) < min(size, MIN_ANSWERS):
            logger.debug(
                "planner: role not taken, only {} agents answered", len(answered)
            )
            return
        await self._take(group)

    async def _take(self, group: str) -> None:
        try:
            fence = await self.store.acquire_role(f"maps/{group}", self.name)
        except PlatformError as error:
            logger.debug("planner: role not taken: {}", error)
            return
        if fence is not None and fence > self.controller.fence:
            self.group, self.fence = group, fence
            logger.info(
                "planner: took the planner role of group {}, fencing token {}",
                group,
                fence,
            )

    def _planner_silence(self) -> float:
        return anyio.current_time() - max(self.controller.planner_seen_at, self.started)

    def _takeover_delay(self, group: str, size: int) -> float:
        """
        Return the time without a planner after which this agent takes the role.

        An agent that knows only some of its peers may not be the first in the order.
        When a whole deployment starts, this is true of every agent.
        """
        agent_names = list(self.peers.agents(group))
        order = rendezvous_order(f"maps/{group}", agent_names)
        position = order.index(self.name) if self.name in order else len(order)
        no_planner_yet = (
            self.controller.fence == NO_FENCE
            and len(agent_names) >= size * MIN_KNOWN_SHARE
        )
        base = 0.0 if no_planner_yet else PLANNER_TIMEOUT_SECONDS
        return base + STAGGER_SECONDS * (position + 1)
