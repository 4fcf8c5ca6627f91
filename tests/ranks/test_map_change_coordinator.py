"""The order in which ranks are asked to hold the pass of a change."""

import pytest

from briarthread_agent.ranks.group_view import GroupView, build_view
from briarthread_agent.ranks.map_change import MapChange
from briarthread_agent.ranks.map_change_coordinator import MapChangeCoordinator
from briarthread_common.core.event_log import EventLog
from briarthread_common.direct.rank_state import RankState
from briarthread_common.messages.rank_messages import (
    ACCEPT_PATH,
    WITHDRAW_PATH,
    OrderAnswer,
    RankAnswer,
)
from briarthread_common.utils.clock import Clock
from briarthread_standins.virtual_time import run_virtual

ADDRESSES = tuple(f"10.2.0.{n}:9" for n in range(1, 5))


class OwnController:
    """The controller of the planner's own rank, which is rank 0."""

    fence = 1

    async def own_state(self) -> RankState:
        return RankState("g", 1, 0, len(ADDRESSES), True, 5, 1)


class PeersLosingHolds:
    """Peers whose engines lose the hold order; records which ranks were asked."""

    def __init__(self, withdraw_answer: OrderAnswer | None) -> None:
        self.withdraw_answer = withdraw_answer
        self.holds: list[str] = []
        self.last_address = ""

    async def view(self, group: str, query: object) -> GroupView:
        return build_view(
            group,
            {
                address: RankAnswer(True, RankState(group, 1, rank, 4, True, 5, 1, 2))
                for rank, address in enumerate(ADDRESSES)
            },
        )

    def engine_of_agent(self, address: str) -> "PeersLosingHolds":
        self.last_address = address
        return self

    async def hold(self, epoch: int, step: int) -> bool:
        self.holds.append(self.last_address)
        return False

    async def call_agent(
        self, address: str, path: str, message: object, answer: type
    ) -> OrderAnswer | None:
        if path == WITHDRAW_PATH:
            return self.withdraw_answer
        assert path == ACCEPT_PATH
        return OrderAnswer(False)


@pytest.mark.parametrize(
    ("withdraw_answer", "asked"),
    [(OrderAnswer(True), 3), (OrderAnswer(False), 1), (None, 1)],
)
def test_next_rank_is_asked_only_if_the_first_will_never_promise(
    withdraw_answer: OrderAnswer | None, asked: int
) -> None:
    async def run() -> None:
        peers = PeersLosingHolds(withdraw_answer)
        coordinator = MapChangeCoordinator(
            OwnController(), peers, EventLog(Clock(), "agent")
        )

        async def staged(*_: object) -> bool:
            return True

        coordinator._stage = staged
        view = await peers.view("g", None)
        change = MapChange(2, [[[0], [1]]], 1, [[[1], [0]]])
        assert not await coordinator.activate(view, 1, change, 0.06)
        assert peers.holds == list(ADDRESSES[1 : 1 + asked])

    run_virtual(run)
