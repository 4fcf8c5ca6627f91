"""
Who meets a full rank, where many entries choose ranks at the same time.

Arrivals are drawn, each entry's decision is the real one, and what it knows of
the others is as old as reports are. The baseline takes the least loaded rank.
"""

import random

import pytest
from direct_builders import build_target

from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_entry.direct.assigned_slots import assign_slots
from briarthread_entry.direct.choose_target import choose_rank
from briarthread_entry.direct.target_state import DirectTargetState
from briarthread_measure.choice_run import LOADS, least_loaded, own_slots_first
from briarthread_measure.drawn_arrivals import CENTRES, DrawnDay, DrawnLoad


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_far_fewer_meet_a_full_rank_than_at_the_least_loaded(load: DrawnLoad) -> None:
    ours = DrawnDay(load, 3, own_slots_first).share_that_meets_a_full_rank()
    least = DrawnDay(load, 3, least_loaded).share_that_meets_a_full_rank()
    assert ours <= 0.75 * least


def test_every_slot_is_one_entrys_own() -> None:
    rows = [Instance(f"e{n}", CENTRES[n % 2], "", InstanceRole.ENTRY) for n in range(7)]
    ranks = [build_target(f"r{n}", data_centre=CENTRES[n % 3]) for n in range(9)]
    dealt = [assign_slots(row.name, rows, ranks) for row in rows]
    for rank in ranks:
        assert sum(own.get(rank.name, 0) for own in dealt) == rank.slots


def test_entry_that_is_not_listed_owns_nothing_and_chooses_all_the_same() -> None:
    ranks = [build_target(f"r{n}") for n in range(3)]
    assert assign_slots("new", [], ranks) == {}
    states = [DirectTargetState(rank) for rank in ranks]
    states[1].running = 6
    chosen = {
        choose_rank(states, lambda _: 0, {}, 0.0, random.Random(seed)).target.name
        for seed in range(20)
    }
    assert chosen == {"r0", "r2"}
