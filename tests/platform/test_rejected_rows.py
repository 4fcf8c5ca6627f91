"""A row that cannot be decoded is logged once per value, by every process."""

import anyio
import pytest
from builders import run_in_world
from direct_builders import run_in_direct_world, run_in_group_world
from failing_tasks import collecting_logs

from briarthread_common.core.exceptions import PlatformError
from briarthread_common.placement.move_rule import MapMove
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.platform.table_messages import Row
from briarthread_common.text.group import Group
from briarthread_standins.direct_agents import GroupWorld
from briarthread_standins.direct_world import DirectWorld
from briarthread_standins.world import World

SPREAD_SECONDS = 5.0
VERSIONS = 4


async def list_rows(world: DirectWorld | GroupWorld) -> None:
    """List an odd row with two values and sound ones that change beside it."""
    for value in ("odd", "odder"):
        for number in range(VERSIONS):
            world.store.put("servers", "odd", [value])
            world.store.put("servers", f"other-{number}", [value, "as invalid"])
            await anyio.sleep(SPREAD_SECONDS)
            world.store.delete("servers", f"other-{number}")


def lines_on(lines: list[str], name: str) -> list[str]:
    return [line for line in lines if "invalid row" in line and f" {name}:" in line]


def test_entry_logs_an_invalid_row_once_per_value() -> None:
    with collecting_logs() as lines:
        run_in_direct_world(list_rows)
    assert len(lines_on(lines, "odd")) == 2


def test_agent_logs_an_invalid_row_once_per_value() -> None:
    """Guards against an engine that agents skip without a line."""

    async def scenario(world: GroupWorld) -> None:
        agent = world.agents[0]

        async def look_up_engines() -> None:
            while True:
                agent.peers.engine_of_agent(agent.settings.listen)
                await anyio.sleep(SPREAD_SECONDS / 4)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(look_up_engines)
            await list_rows(world)
            tasks.cancel_scope.cancel()

    with collecting_logs() as lines:
        run_in_group_world(scenario, ranks=1)
    found = [line for line in lines_on(lines, "odd") if "rank: " in line]
    assert len(found) == 2


class UnwritablePlatform(PlatformClient):
    """Return one row and refuse all writes."""

    def __init__(self) -> None:
        self.value = ""

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Return the row for each key."""
        return {key: Row(key, self.value, 1) for key in keys}

    async def write(self, checks: list[object], writes: list[object]) -> None:
        """Refuse the write."""
        raise PlatformError("no")


def test_planner_logs_an_invalid_lease_once_per_value() -> None:
    async def scenario(world: World) -> None:
        planner = world.entry("entry-palermo-0").planner
        planner.platform = UnwritablePlatform()
        group = Group("experts", "assistant", "palermo", ("rank-0",), 1, 1, 6, 3, 1)
        for value in ("odd", "odder", '{"holder":"a","expires":-1e9}', "odd"):
            planner.platform.value = value
            for _ in range(VERSIONS):
                with pytest.raises(PlatformError):
                    await planner._activate(group, MapMove(None, 0, 0.0, 0.0))

    with collecting_logs() as lines:
        run_in_world(scenario, data_centres=("palermo",))
    found = [line for line in lines if "leases/groups/experts" in line]
    assert len(found) == 3
    assert all("ignored" in line for line in found)
