"""Every rank is ordered to load a map until it reports the map as loaded."""

import anyio

from briarthread_agent.ranks.group_view import GroupView, build_view
from briarthread_agent.ranks.map_change import MapChange
from briarthread_agent.ranks.map_stager import MapStager
from briarthread_common.direct.rank_state import RankState
from briarthread_common.messages.rank_messages import OrderAnswer, RankAnswer
from briarthread_standins.virtual_time import run_virtual

ADDRESSES = ("10.2.0.1:9", "10.2.0.2:9")
VERSION = 2


class PeersLosingFirstCalls:
    """Two agents, of which the second does not answer its first calls."""

    def __init__(self) -> None:
        self.loaded: set[str] = set()
        self.orders = 0
        self.views = 0

    def build_view_of(self, addresses: tuple[str, ...]) -> GroupView:
        """Return the view of a group from the answers of some agents."""
        answers = {}
        for address in addresses:
            rank = ADDRESSES.index(address)
            prepared = VERSION if address in self.loaded else None
            state = RankState("g", 1, rank, 2, True, 5, 1, prepared)
            answers[address] = RankAnswer(True, state)
        return build_view("g", answers)

    async def view(self, group: str, query: object) -> GroupView:
        """Return a view, the first one without the second agent."""
        self.views += 1
        return self.build_view_of(ADDRESSES[:1] if self.views == 1 else ADDRESSES)

    async def call(
        self, path: str, messages: dict, answer: type, seconds: float
    ) -> dict:
        """Deliver orders, except for the first one to the second agent."""
        self.orders += 1
        reached = [a for a in messages if a == ADDRESSES[0] or self.orders > 1]
        self.loaded.update(reached)
        return {address: OrderAnswer(True) for address in reached}


def test_rank_that_missed_its_order_and_a_poll_is_ordered_again() -> None:
    async def run() -> None:
        peers = PeersLosingFirstCalls()
        change = MapChange(VERSION, [[[0], [1]]], 1, [[[1], [0]]])
        stager = MapStager(peers, peers.build_view_of(ADDRESSES), 1, change)
        staged = False
        with anyio.move_on_after(5):
            staged = await stager.run()
        assert staged
        assert peers.loaded == set(ADDRESSES)

    run_virtual(run)
