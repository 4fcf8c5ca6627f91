"""Builders of test data for direct targets."""

from collections.abc import Awaitable, Callable

import anyio

from briarthread_common.direct.call_kind import CallKind
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.engine_profile import EngineProfile
from briarthread_common.direct.host_route import HostRoute, RouteShare
from briarthread_entry.direct.direct_request import DirectRequest
from briarthread_entry.direct.target_state import DirectTargetState
from briarthread_standins.direct_agents import GroupWorld
from briarthread_standins.direct_config import (
    DIARY,
    MODEL,
    build_config,
    build_engine_row,
    build_route_row,
)
from briarthread_standins.direct_group import DirectGroup
from briarthread_standins.direct_world import START_SECONDS, DirectWorld
from briarthread_standins.virtual_time import run_virtual

__all__ = ["DIARY", "MODEL", "build_config", "build_engine_row", "build_route_row"]


def build_engine() -> EngineProfile:
    """Return the figures of an engine with six slots."""
    return EngineProfile(6, 0.00585, 0.00071, 0.00007, 61200.0, 0.0003, 512, 5)


def build_target(name: str = "t-1", **changes: object) -> DirectTarget:
    """Return a target of the diary."""
    fields: dict[str, object] = {
        "name": name,
        "service": DIARY,
        "address": "10.9.0.1:80",
        "data_centre": "palermo",
        "slots": 6,
        "leaving": False,
    }
    return DirectTarget(**{**fields, **changes})


def build_state(name: str = "t-1", **changes: object) -> DirectTargetState:
    """Return the state of a target of the diary."""
    return DirectTargetState(build_target(name, **changes))


def build_direct_request(**changes: object) -> DirectRequest:
    """Return a request of a stream's route."""
    route = HostRoute(
        "chat",
        "salon.example",
        "/chat/",
        CallKind.STREAM,
        (RouteShare(MODEL, 1.0),),
        timeout=8.0,
        slo=0.4,
        gap_slo=0.12,
        max_attempts=2,
        resumable=True,
    )
    fields: dict[str, object] = {
        "id": "request-1",
        "method": "POST",
        "path": "/chat/1",
        "headers": (),
        "body": b"x",
        "route": route,
        "service": DirectService(MODEL, 100, build_engine()),
        "account": "salon",
        "priority": 1,
        "arrived": 0.0,
        "deadline": 8.0,
    }
    return DirectRequest(**{**fields, **changes})


def run_in_direct_world(
    scenario: Callable[[DirectWorld], Awaitable[None]],
    entries: tuple[str, ...] = ("entry-1",),
    diaries: int = 3,
    ranks: int = 3,
    config: dict[str, object] | None = None,
    data_centres: tuple[str, ...] = ("palermo",),
) -> None:
    """
    Run a scenario in virtual time in a world that has come up.

    Entries are dealt out to the data centres in turn.
    """

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = DirectWorld(tasks)
            world.store.put("op", "config", config or build_config())
            for number in range(diaries):
                world.add_worker(f"diary-{number}", DIARY)
            for number in range(ranks):
                world.add_worker(f"rank-{number}", MODEL)
            for number, name in enumerate(entries):
                world.add_entry(name, data_centres[number % len(data_centres)])
            await anyio.sleep(START_SECONDS)
            await scenario(world)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def run_in_group_world(
    scenario: Callable[[GroupWorld], Awaitable[None]],
    ranks: int = 4,
    skewed: bool = True,
    sets: int = 2,
    experts: int = 12,
    link_rate: float = 0.0,
    sizes: tuple[int, ...] = (),
) -> None:
    """
    Run a scenario in virtual time with groups whose agents have started.

    ``link_rate`` is what each instance can send, in bytes a second; 0 is any.
    ``sizes`` gives the ranks of each group, where there are several.
    """

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = GroupWorld(tasks, ranks, sets, experts, sizes=sizes)
            world.network.link_rate = link_rate
            world.store.put("op", "config", build_group_config(world))
            for group in world.groups if skewed else ():
                skew_demand(group, hot=0)
            world.world.add_entry("entry-1")
            for number in range(world.ranks):
                world.start_agent(number)
            await anyio.sleep(START_SECONDS)
            await scenario(world)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def build_group_config(world: GroupWorld) -> dict[str, object]:
    """Return a config whose model has experts."""
    engine = {
        **build_engine_row(),
        "sets": world.sets,
        "experts": world.experts,
        "placements": 5,
        "spare": 3,
        "expertShare": 0.85,
    }
    return build_config(services=[{"name": MODEL, "engine": engine}, {"name": DIARY}])


def skew_demand(group: DirectGroup, hot: int) -> None:
    """Make some experts of each set much liked, ``hot`` first of them."""
    for demand in group.demand:
        for expert in range(group.experts):
            demand[expert] = 1.0
        for offset, liked in enumerate((30.0, 12.0, 6.0)):
            demand[(hot + offset) % group.experts] = liked
