"""The loading of a new map by every rank of a group."""

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
"""How often a rank that did not take the order to load is ordered anew. One
that took an order without an answer refuses the next, and loads all the same."""
MAX_FULL_MAPS_AT_ONCE = 12
"""Agents that are sent a whole map at a time: some 120 KB for a group of 63."""
POLL_SECONDS = 0.08
"""Pause between two looks at the ranks while they load."""
POLL_SECONDS_PER_RANK = 0.0015
"""The same for each rank, so that looks at a large group leave its link free."""
ORDER_SECONDS_PER_RANK = 0.015
"""Time for the orders of one round, for each rank: before 129 ranks the changes of
a map come to some 15 KB, which are sent to a dozen agents and by these to a dozen
each, over links of 3 Mbit/s."""


class MapStager:
    """Order the ranks of a group to load a map until all have it."""

    def __init__(
        self, peers: RankPeers, view: GroupView, fence: int, change: MapChange
    ) -> None:
        self.peers = peers
        self.view = view
        self.fence = fence
        self.change = change
        self.group = view.members[0].state.group
        self.missing = {member.address for member in view.members}
        self.unresponsive = view.unresponsive
        self.whole: set[str] = set()
        self.tries: Counter[str] = Counter()
        self.brief = StageRequest(
            fence,
            view.epoch,
            change.version,
            change.base,
            change.differences(),
            dealt=change.round_robin_base(),
            group=self.group,
        )
        self.full = StageRequest(
            fence,
            view.epoch,
            change.version,
            change.base,
            layers=change.layers,
            group=self.group,
        )

    async def run(self) -> bool:
        """Return whether all ranks have loaded the map."""
        pause = max(POLL_SECONDS, len(self.view.members) * POLL_SECONDS_PER_RANK)
        while True:
            await self._order()
            current = await self.peers.view(self.group, RankQuery(self.fence))
            if not current.fault and current.epoch != self.view.epoch:
                return False
            self.unresponsive = current.unresponsive
            lacking = self._lacking(current)
            if not lacking and not current.fault:
                return True
            self._forget_loaded(current)
            if any(
                self.tries[one] >= MAX_STAGE_ATTEMPTS for one in lacking & self.missing
            ):
                return False
            await anyio.sleep(pause)

    async def _order(self) -> None:
        """Order those that have not taken the order yet."""
        silent = self.missing & self.unresponsive
        if silent:
            await self._order_engines(silent)
        reached = self.missing - silent
        whole = sorted(reached & self.whole)[:MAX_FULL_MAPS_AT_ONCE]
        messages = dict.fromkeys(reached - self.whole, self.brief)
        messages |= dict.fromkeys(whole, self.full)
        if not messages:
            return
        self.tries.update(messages.keys())
        seconds = max(CALL_TIMEOUT_SECONDS, len(messages) * ORDER_SECONDS_PER_RANK)
        answers = await self.peers.call(STAGE_PATH, messages, OrderAnswer, seconds)
        for address, answer in answers.items():
            if answer.taken:
                self.missing.discard(address)
            elif answer.lacks_base:
                self.whole.add(address)
                self.tries[address] = 0

    async def _order_engines(self, silent: Collection[str]) -> None:
        """Order the engines beside silent agents, each until it took the order."""
        self.tries.update(silent)
        epoch, change = self.view.epoch, self.change

        async def order(engine: RankClient) -> bool:
            return await engine.prepare(epoch, change.version, change.layers)

        taken = await self.peers.call_engines(silent, order)
        self.missing -= {address for address, took in taken.items() if took}

    @property
    def repeated(self) -> bool:
        """Tell whether some rank had to be ordered more than once."""
        return any(tries > 1 for tries in self.tries.values())

    def _lacking(self, view: GroupView) -> set[str]:
        """Return the addresses of ranks that say they have not loaded the map."""
        return {
            member.address
            for member in view.members
            if member.state.prepared != self.change.version
        }

    def _forget_loaded(self, view: GroupView) -> None:
        """Order those no more that have loaded the map, answered or not."""
        seen = {member.address for member in view.members}
        self.missing -= seen - self._lacking(view)
