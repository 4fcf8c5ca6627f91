"""Under faults of agents and orders, each pass uses one map and none hangs."""

from dataclasses import dataclass, replace

import anyio
import pytest
from direct_builders import run_in_group_world, skew_demand
from hypothesis import example, given
from hypothesis import strategies as st

from briarthread_agent.ranks.pass_id import PassId
from briarthread_standins.direct_agents import GroupWorld
from fuzz.ci_settings import CI_SETTINGS

RANKS = 4
MAX_ORDER_DELAY_SECONDS = 3.5
"""Slightly more than the longest delay of an order that a fault delays."""
CHANGE_SECONDS = 0.3
"""Longest hold of a successful change: its pass is as far ahead, and the hold is
released before the group reaches it. A change may be in progress at any time."""
PROMISE_SECONDS = 6.0
"""Time for which a promise to a planner is awaited."""
RECOVERY_SECONDS = 14.0
"""Time after the last fault in which the group must recover: the longest delay of an
order, a planner's silence, and two checks of the map change recovery."""


@dataclass(frozen=True)
class Fault:
    """
    A fault of an agent or the group, ``after`` seconds after the previous one.

    ``count`` is the number of lost orders or the duration of the fault; for a frozen
    planner, the milliseconds between the promise of its pass and the freeze.
    """

    kind: str
    rank: int
    after: float
    count: int


FAULTS = st.builds(
    Fault,
    kind=st.sampled_from(
        [
            "kill",
            "freeze",
            "freeze-instance",
            "freeze-planner",
            "lose",
            "lose-arm",
            "lose-hold",
            "lose-go",
            "form",
            "store",
        ]
    ),
    rank=st.integers(0, RANKS - 1),
    after=st.sampled_from([0.01, 0.03, 0.07, 0.2, 0.5, 1.1, 2.5]),
    count=st.integers(1, 6),
)


@pytest.fixture(autouse=True)
def fully_loaded_passes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Treat the stand-in's passes as those of a fully loaded group."""
    monkeypatch.setattr(
        "briarthread_common.placement.set_rebalance.ZERO_WEIGHT_PASS_SECONDS", 0.01
    )
    monkeypatch.setattr(
        "briarthread_common.placement.set_rebalance.FULL_WEIGHT_PASS_SECONDS", 0.02
    )


@pytest.fixture(autouse=True)
def short_order_delay_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the time until agents know all orders, so that passes are withdrawn."""
    name = "briarthread_agent.ranks.rank_controller.LATE_ORDER_SECONDS"
    monkeypatch.setattr(name, MAX_ORDER_DELAY_SECONDS)


LOST_ORDERS_AND_FREEZE = [
    Fault(kind="lose-arm", rank=3, after=0.03, count=5),
    Fault(kind="freeze-planner", rank=1, after=0.03, count=5),
    Fault(kind="lose-hold", rank=3, after=0.07, count=2),
    Fault(kind="lose-go", rank=1, after=0.03, count=5),
]
"""A frozen planner that briefly lacks its own rank, and arms that rank first."""

CHANGE_AT_END = [
    Fault(kind="freeze", rank=0, after=0.2, count=1),
    Fault(kind="freeze", rank=0, after=0.2, count=1),
    Fault(kind="freeze", rank=2, after=0.01, count=4),
    Fault(kind="form", rank=1, after=0.03, count=4),
]
"""A map change that begins 3 ms before the end of ``RECOVERY_SECONDS``."""


@CI_SETTINGS
@example(LOST_ORDERS_AND_FREEZE)
@example(CHANGE_AT_END)
@given(st.lists(FAULTS, min_size=3, max_size=14))
def test_every_pass_has_one_map_and_nothing_stays_held(faults: list[Fault]) -> None:
    async def scenario(world: GroupWorld) -> None:
        for number, fault in enumerate(faults):
            await anyio.sleep(fault.after)
            skew_demand(world.group, 5 * number)
            inject_fault(world, fault)
            await anyio.sleep(0.5)
        repair_all_faults(world)
        await anyio.sleep(RECOVERY_SECONDS)
        assert world.group.violations == []
        with anyio.fail_after(CHANGE_SECONDS):
            while any(rank.held is not None for rank in world.group.ranks):
                await anyio.sleep(0.005)
        step = world.group.step
        await anyio.sleep(1)
        assert world.group.step > step

    run_in_group_world(scenario, RANKS)


def inject_fault(world: GroupWorld, fault: Fault) -> None:
    address = world.agent_address(fault.rank)
    match fault.kind:
        case "kill":
            world.kill_agent(fault.rank)
            world.tasks.start_soon(start_later, world, fault)
        case "freeze":
            world.network.freeze(address, True)
            world.tasks.start_soon(unfreeze_later, world, fault)
        case "freeze-instance":
            world.network.freeze(address, True)
            world.network.freeze(world.engine_address(fault.rank), True)
            world.tasks.start_soon(unfreeze_later, world, fault)
        case "freeze-planner":
            world.tasks.start_soon(freeze_planner_later, world, fault)
        case "lose":
            world.group.unanswered_orders = fault.count
            world.group.late_seconds = fault.count / 2
        case "lose-arm" | "lose-hold" | "lose-go":
            kind = fault.kind.removeprefix("lose-")
            world.group.unanswered_by_kind = {kind: fault.count}
            world.group.late_seconds = fault.count / 2
        case "form":
            world.group.reform()
        case "store":
            world.store.unresponsive = not world.store.unresponsive


async def start_later(world: GroupWorld, fault: Fault) -> None:
    await anyio.sleep(fault.count / 2)
    if fault.rank not in world.agents:
        world.start_agent(fault.rank)


async def freeze_planner_later(world: GroupWorld, fault: Fault) -> None:
    """Freeze the planner's instance ``fault.count - 1`` ms after the next promise."""

    def promised_passes() -> list[PassId | None]:
        return [agent.controller.promised_pass for agent in world.agents.values()]

    initial = promised_passes()
    with anyio.move_on_after(PROMISE_SECONDS):
        while promised_passes() == initial:
            await anyio.sleep(0.0007)
        await anyio.sleep((fault.count - 1) / 1000)
        planner = world.planner()
        if planner is not None:
            inject_fault(world, replace(fault, kind="freeze-instance", rank=planner))


async def unfreeze_later(world: GroupWorld, fault: Fault) -> None:
    await anyio.sleep(fault.count)
    unfreeze(world, fault.rank)


def unfreeze(world: GroupWorld, rank: int) -> None:
    world.network.freeze(world.agent_address(rank), False)
    world.network.freeze(world.engine_address(rank), False)


def repair_all_faults(world: GroupWorld) -> None:
    world.store.unresponsive = False
    world.group.unanswered_orders = 0
    world.group.unanswered_by_kind = {}
    for rank in range(RANKS):
        unfreeze(world, rank)
        if rank not in world.agents:
            world.start_agent(rank)
