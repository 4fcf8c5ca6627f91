"""Rows of another writer in the platform's list of instances."""

from dataclasses import replace

import anyio
import pytest
from builders import run_in_world

from briarthread_standins.world import World

ROUNDS = 30
LISTED_SECONDS = 3.0


async def count_served(world: World, service: str) -> int:
    served = 0
    for number in range(ROUNDS):
        body = f"{service}-{number}".encode()
        response = await world.call(
            "entry-palermo-0", f"{service}/b", "salon-0", body=body
        )
        served += response.status == 200
        await anyio.sleep(0.1)
    return served


@pytest.mark.parametrize("service", ["diary", "cards", "unnamed"])
def test_row_of_another_writer_at_an_agents_address_takes_nothing_out_of_use(
    service: str,
) -> None:
    """Guards against callers of a service who are sent to the agent of another one."""

    async def scenario(world: World) -> None:
        rows = [row for row in world.instances.values() if row.service == "diary"]
        copies = [
            replace(row, name=f"copy-of-{row.name}", service=service) for row in rows
        ]
        world.platform.state.put_instances(copies)
        await anyio.sleep(LISTED_SECONDS)
        assert await count_served(world, "diary") == ROUNDS
        assert await count_served(world, "cards") == ROUNDS
        world.platform.state.remove_instances([row.name for row in copies])
        await anyio.sleep(LISTED_SECONDS)
        assert await count_served(world, "diary") == ROUNDS

    run_in_world(scenario)
