"""A planner knows a map only from ranks that all report its version."""

from unittest import mock

from briarthread_agent.ranks.group_view import GroupView, build_view
from briarthread_agent.ranks.planner_role import PlannerRole
from briarthread_agent.ranks.rank_controller import RankController
from briarthread_agent.ranks.rank_peers import RankPeers
from briarthread_agent.ranks.rank_planner import RankPlanner
from briarthread_common.core.event_log import EventLog
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.expert_layout import ExpertLayout
from briarthread_common.direct.rank_state import RankState
from briarthread_common.direct.route_view import RouteView
from briarthread_common.messages.rank_messages import RankAnswer
from briarthread_common.utils.clock import Clock
from briarthread_standins.virtual_time import run_virtual

SERVICE = DirectService("model", 100, experts=ExpertLayout(1, 4, 3, 1))
EXPERTS_BY_VERSION = {1: [[[0, 2]], [[1, 3]]], 2: [[[0, 1]], [[2, 3]]]}


def build_view_of(version: int) -> GroupView:
    """Return the view of a group whose ranks report a map and their experts."""
    answers = {
        f"10.2.0.{rank + 1}:9": RankAnswer(
            True, RankState("g", 1, rank, 2, True, 5, version), experts=experts
        )
        for rank, experts in enumerate(EXPERTS_BY_VERSION[version])
    }
    return build_view("g", answers)


def build_planner(answered: GroupView) -> RankPlanner:
    """Return a planner that gets a view when it asks for the ranks' experts."""
    peers = mock.create_autospec(RankPeers, instance=True)
    peers.view.return_value = answered
    return RankPlanner(
        SERVICE.name,
        mock.create_autospec(RouteView, instance=True),
        mock.create_autospec(RankController, instance=True),
        peers,
        mock.create_autospec(PlannerRole, instance=True),
        EventLog(Clock(), "agent"),
    )


def test_experts_of_a_map_that_became_active_meanwhile_are_not_taken() -> None:
    """Guards against ranks with one version of a map that differs in content."""

    async def run() -> None:
        planner = build_planner(answered=build_view_of(2))
        known = await planner._ensure_map_known("g", SERVICE, build_view_of(1), 1)
        assert not known
        assert planner.active_map is None

    run_virtual(run)


def test_experts_of_the_active_map_are_taken() -> None:
    async def run() -> None:
        planner = build_planner(answered=build_view_of(2))
        assert await planner._ensure_map_known("g", SERVICE, build_view_of(2), 1)
        assert planner.active_map == (1, 2)
        assert planner.layers == [[[0, 1], [2, 3]]]

    run_virtual(run)
