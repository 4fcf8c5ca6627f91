"""Builders of test data."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import anyio

from briarthread_common.core.metrics import Metrics
from briarthread_common.core.task_supervisor import TaskSupervisor
from briarthread_common.http.channel import ChannelResponse
from briarthread_common.messages.attempt import Attempt
from briarthread_common.text.service import Service, TargetKind
from briarthread_common.utils.hashing import key_digest
from briarthread_standins.virtual_time import run_virtual
from briarthread_standins.world import World

T = TypeVar("T")
DATA_CENTRES = ("palermo", "catania", "messina")
START_SECONDS = 12.0
"""Virtual time in which a small world starts and claims its shares."""


def build_supervisor() -> TaskSupervisor:
    """Return a supervisor with metrics of its own."""
    return TaskSupervisor(Metrics(), random.Random(1))


def build_head(status: int, *fields: tuple[str, str]) -> ChannelResponse:
    """Return a response with the given header fields and an empty body."""

    async def empty_body() -> AsyncIterator[bytes]:
        return
        yield b""

    return ChannelResponse(status, dict(fields), empty_body(), fields)


def build_service(**changes: object) -> Service:
    """Return a plain service; keyword arguments replace its options."""
    options = {
        "name": "diary",
        "kind": TargetKind.PLAIN,
        "data_centres": DATA_CENTRES,
        "depends_on": (),
        "idempotent": False,
        "deadline": 5.0,
        "max_deadline": 20.0,
        "patience": 1.0,
        "retry_horizon": 60.0,
        "shares": 3,
        "slots": 4,
        "queue": 8,
        "body_bytes": 1000,
        "answer_bytes": 10000,
    }
    return Service(**{**options, **changes})


def build_attempt(**changes: object) -> Attempt:
    """Return a keyed attempt; keyword arguments replace its fields."""
    fields = {
        "key": "salon/booking-1",
        "id": "attempt-1",
        "service": "diary",
        "incarnation": "agent-1",
        "deadline": 10.0,
        "account": "salon",
        "method": "POST",
        "path": "/bookings",
        "idempotent": False,
        "keyed": True,
        "share": 0,
        "share_version": 1,
    }
    return Attempt(**{**fields, **changes})


def build_text(
    data_centres: tuple[str, ...] = DATA_CENTRES,
    diary_options: str = "",
    more: str = "",
) -> str:
    """Return a services text with two services and three accounts."""
    names = ", ".join(data_centres)
    sections = [f"[data_centre {name}]\n" for name in data_centres]
    sections.append(
        f"[service diary]\ndata_centres = {names}\nshares = 3\ndeadline = 5\n"
        f"max_deadline = 20\nretry_horizon = 60\npatience = 1\n{diary_options}"
    )
    sections.append(
        f"[service cards]\ndata_centres = {names}\nidempotent = yes\n"
        "deadline = 5\npatience = 1\n"
    )
    for number in range(3):
        home = data_centres[number % len(data_centres)]
        digest = key_digest(f"salon-{number}")
        sections.append(
            f"[account salon-{number}]\nkeys = {digest}\nhome = {home}\n"
            "rate = 1000\nconcurrency = 1000\n"
        )
    return "".join(sections) + more


def build_world(
    tasks: anyio.abc.TaskGroup,
    seed: int = 0,
    data_centres: tuple[str, ...] = DATA_CENTRES,
    entries: int = 1,
    targets: int = 2,
    services: tuple[str, ...] = ("diary", "cards"),
) -> World:
    """Return a started world with the given data centres."""
    world = World(tasks, seed)
    for data_centre in data_centres:
        for number in range(entries):
            world.add_entry(f"entry-{data_centre}-{number}", data_centre)
        for service in services:
            for number in range(targets):
                name = f"{service}-{data_centre}-{number}"
                world.add_target(name, data_centre, service)
    return world


def run_in_world(
    scenario: Callable[[World], Awaitable[T]],
    text: str | None = None,
    **options: object,
) -> T:
    """Run a scenario in virtual time in a started world."""

    async def run() -> T:
        async with anyio.create_task_group() as tasks:
            world = build_world(tasks, **options)
            await anyio.sleep(1)
            await world.apply(
                text or build_text(options.get("data_centres", DATA_CENTRES))
            )
            await anyio.sleep(START_SECONDS)
            result = await scenario(world)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)
