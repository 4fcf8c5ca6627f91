"""Staging of a new map on every rank of a group."""

from collections import Counter
from collections.abc import Collection

import anyio

from briarthread_agent.ranks.group_view import GroupView
from briarthread_agent.ranks.map_change import MapChange
from briarthread_agent.ranks.rank_peers import CALL_TIMEOUT_SECONDS, RankPeers
from briarthread_common.direct.rank_client import RankClient
from briarthread_common.messages.rank_messages import (
    STAGE_PATH,
    OrderAnswer,
    RankQuery,
    StageRequest,
)

MAX_STAGE_ATTEMPTS = 4
"""
Number of times that a rank is ordered to load if it does not accept the order.

A rank that accepted an order without an answer rejects the next one, but loads the
map nevertheless.
"""
MAX_FULL_MAPS_AT_ONCE = 12
"""Number of agents that are sent a full map at once, about 120 KB for 63 ranks."""
POLL_SECONDS = 0.08
"""Pause between two queries of the ranks while they load."""
POLL_SECONDS_PER_RANK = 0.0015
"""The same pause per rank, so that polling a large group does not fill the link."""
ORDER_SECONDS_PER_RANK = 0.015
"""
Timeout per rank for the orders of one round.

For 129 ranks the differences of a map take about 15 KB, which are sent to a dozen
relays and by each of them to a dozen agents, over links of 3 Mbit/s.
"""


class MapStager:
    """Order the ranks of a group to load a map until all have loaded it."""

    def __init__(
        self, peers: RankPeers, view: GroupView, fence: int, change: MapChange
    ) -> None:
        self.peers = peers
        self.view = view
        self.fence = fence
        self.change = change
        self.group = view.members[0].state.group
        self.unordered = {member.address for member in view.members}
        self.unresponsive = view.unresponsive
        self.needs_full_map: set[str] = set()
        self.attempts: Counter[str] = Counter()
        self.delta_request = StageRequest(
            fence,
            view.epoch,
            change.version,
            change.base,
            change.differences(),
            dealt=change.round_robin_base(),
            group=self.group,
        )
        self.full_request = StageRequest(
            fence,
            view.epoch,
            change.version,
            change.base,
            layers=change.layers,
            group=self.group,
        )

    async def run(self) -> bool:
        """Order the ranks until all have loaded the map; return whether they have."""
        pause = max(POLL_SECONDS, len(self.view.members) * POLL_SECONDS_PER_RANK)
        while True:
            await self._order()
            current = await self.peers.view(self.group, RankQuery(self.fence))
            if not current.fault and current.epoch != self.view.epoch:
                return False
            self.unresponsive = current.unresponsive
            not_loaded = self._not_loaded(current)
            if not not_loaded and not current.fault:
                return True
            self._discard_loaded(current)
            if any(
                self.attempts[address] >= MAX_STAGE_ATTEMPTS
                for address in not_loaded & self.unordered
            ):
                return False
            await anyio.sleep(pause)

    async def _order(self) -> None:
        """Send the order to the ranks that have not accepted it yet."""
        agents = self.unordered & self.unresponsive
        if agents:
            await self._order_engines(agents)
        reached = self.unordered - agents
        full_maps = sorted(reached & self.needs_full_map)[:MAX_FULL_MAPS_AT_ONCE]
        messages = dict.fromkeys(
            sorted(reached - self.needs_full_map), self.delta_request
        )
        messages |= dict.fromkeys(full_maps, self.full_request)
        if not messages:
            return
        self.attempts.update(messages.keys())
        seconds = max(CALL_TIMEOUT_SECONDS, len(messages) * ORDER_SECONDS_PER_RANK)
        answers = await self.peers.call(STAGE_PATH, messages, OrderAnswer, seconds)
        for address, answer in answers.items():
            if answer.taken:
                self.unordered.discard(address)
            elif answer.lacks_base:
                self.needs_full_map.add(address)
                self.attempts[address] = 0

    async def _order_engines(self, agents: Collection[str]) -> None:
        """Order the engines of unresponsive agents that have not accepted it yet."""
        self.attempts.update(agents)
        epoch, change = self.view.epoch, self.change

        async def order(engine: RankClient) -> bool:
            return await engine.prepare(epoch, change.version, change.layers)

        accepted = await self.peers.call_engines(agents, order)
        self.unordered -= {
            address for address, has_accepted in accepted.items() if has_accepted
        }

    @property
    def repeated(self) -> bool:
        """Return whether any rank had to be ordered more than once."""
        return any(attempts > 1 for attempts in self.attempts.values())

    def _not_loaded(self, view: GroupView) -> set[str]:
        """Return the addresses of ranks that report not to have loaded the map."""
        return {
            member.address
            for member in view.members
            if member.state.prepared != self.change.version
        }

    def _discard_loaded(self, view: GroupView) -> None:
        """Stop ordering the ranks that report the map as loaded."""
        reported = {member.address for member in view.members}
        self.unordered -= reported - self._not_loaded(view)
