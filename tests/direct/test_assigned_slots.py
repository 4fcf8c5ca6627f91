"""
Collisions on full ranks when many entries choose ranks at the same time.

Arrivals are simulated, each entry decides with the production code, and its information
about the others is as old as reports are. The baseline chooses the least loaded rank.
"""

import random

import pytest
from direct_builders import build_target

from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_entry.direct.groups.assigned_slots import assign_slots
from briarthread_entry.direct.routing.choose_target import choose_rank
from briarthread_entry.direct.targets.target_state import DirectTargetState
from briarthread_measure.arrival_simulation import (
    DATA_CENTRES,
    ArrivalLoad,
    ArrivalSimulation,
)
from briarthread_measure.choice_run import LOADS, least_loaded, own_slots_first


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_fewer_requests_meet_a_full_rank_than_with_the_least_loaded_policy(
    load: ArrivalLoad,
) -> None:
    actual = ArrivalSimulation(load, 3, own_slots_first).full_rank_share()
    baseline = ArrivalSimulation(load, 3, least_loaded).full_rank_share()
    assert actual <= 0.75 * baseline


def test_every_slot_is_assigned_to_exactly_one_entry() -> None:
    rows = [
        Instance(f"e{n}", DATA_CENTRES[n % 2], "", InstanceRole.ENTRY) for n in range(7)
    ]
    ranks = [build_target(f"r{n}", data_centre=DATA_CENTRES[n % 3]) for n in range(9)]
    assigned = [assign_slots(row.name, rows, ranks) for row in rows]
    for rank in ranks:
        assert sum(slots.get(rank.name, 0) for slots in assigned) == rank.slots


def test_unlisted_entry_has_no_assigned_slots_and_still_chooses_a_rank() -> None:
    ranks = [build_target(f"r{n}") for n in range(3)]
    assert assign_slots("new", [], ranks) == {}
    states = [DirectTargetState(rank) for rank in ranks]
    states[1].running = 6
    chosen = {
        choose_rank(states, lambda _: 0, {}, 0.0, random.Random(seed)).target.name
        for seed in range(20)
    }
    assert chosen == {"r0", "r2"}
