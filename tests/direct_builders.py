"""Builders of test data for direct targets."""

from collections.abc import Awaitable, Callable
from unittest.mock import Mock

import anyio

from briarthread_common.direct.call_kind import CallKind
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.engine_profile import EngineProfile
from briarthread_common.direct.host_route import HostRoute, RouteShare
from briarthread_common.http.call import Call
from briarthread_entry.direct.attempts.attempt_progress import AttemptProgress
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.responses.response_relay import ResponseRelay
from briarthread_entry.direct.targets.target_state import DirectTargetState
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


def build_engine_profile() -> EngineProfile:
    """Return the performance profile of an engine with six slots."""
    return EngineProfile(6, 0.00585, 0.00071, 0.00007, 61200.0, 0.0003, 512, 5)


def build_target(name: str = "t-1", **changes: object) -> DirectTarget:
    """Return a target of the diary service."""
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
    """Return the state of a target of the diary service."""
    return DirectTargetState(build_target(name, **changes))


def build_relay(progress: AttemptProgress) -> ResponseRelay:
    """Return the relay of an attempt that has come so far."""
    relay = ResponseRelay(Mock(spec=Call), None)
    relay.progress = progress
    return relay


def build_direct_request(**changes: object) -> DirectRequest:
    """Return a request for a streaming route."""
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
        "service": DirectService(MODEL, 100, build_engine_profile()),
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
    memory_mb: float = 0.0,
) -> None:
    """
    Run a scenario in virtual time in a started world.

    Entries are assigned to the data centres round-robin. ``memory_mb`` is the memory of
    each entry's instance, 0 for no bound.
    """

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = DirectWorld(tasks, memory_mb=memory_mb)
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

    ``link_rate`` is the sending bandwidth of each instance in bytes per second, 0 for
    no limit. ``sizes`` gives the number of ranks of each group if there are several.
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
    """Return a configuration whose model has experts."""
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
    """Concentrate each set's demand on three experts, starting with ``hot``."""
    for demand in group.demand:
        for expert in range(group.experts):
            demand[expert] = 1.0
        for offset, weight in enumerate((30.0, 12.0, 6.0)):
            demand[(hot + offset) % group.experts] = weight
