"""A target behind an agent that asks for a pause gets it."""

import anyio
import pytest
from builders import in_world

from briarthread_standins.world import Answer, World

ENTRIES = tuple(f"entry-{name}-0" for name in ("palermo", "catania", "messina"))
MOST_EARLY = 2
"""Requests that a target may get from its agent within a pause."""
REFUSING_SECONDS = 8.0
ASKS = 400


async def ask_often(world: World, service: str) -> list[Answer]:
    """Return the answers to callers that come through all entries in turn."""
    answers: list[Answer] = []

    async def ask(number: int) -> None:
        entry = ENTRIES[number % len(ENTRIES)]
        body = f"{service}-{number}".encode()
        answers.append(await world.call(entry, f"{service}/x", "salon-0", None, body))

    async with anyio.create_task_group() as tasks:
        for number in range(ASKS):
            tasks.start_soon(ask, number)
            await anyio.sleep(0.03)
    return answers


def refuse(world: World, *names: str) -> None:
    now = anyio.current_time()
    for name in names:
        world.services[name].refusals.refuse(now, now + REFUSING_SECONDS, 3.0)


@pytest.mark.parametrize("service", ["cards", "diary"])
def test_target_gets_no_requests_within_the_pause_that_it_asked_its_agent_for(
    service: str,
) -> None:
    async def scenario(world: World) -> None:
        refuse(world, f"{service}-palermo-0")
        await ask_often(world, service)
        refusals = world.services[f"{service}-palermo-0"].refusals
        assert refusals.asked
        assert refusals.most_early() <= MOST_EARLY

    in_world(scenario)
