"""
Compare policies that choose a rank when many entries choose at the same time.

Usage:
  choice_run [--seeds=N] [--jobs=N]

Options:
  --seeds=N  Plays of each load, the same seeds for all ways [default: 3].
  --jobs=N   Processes to play with [default: 3].

Arrivals are random, and an entry's information about the others is as old as reports
are. The result is the share of arrivals at a full rank: median (min..max).
"""

import random
from collections.abc import Mapping, Sequence

from docopt import docopt

from briarthread_entry.direct.routing.choose_target import RunningElsewhere, choose_rank
from briarthread_entry.direct.targets.target_state import DirectTargetState
from briarthread_measure.arrival_simulation import ArrivalLoad, ArrivalSimulation
from briarthread_measure.comparison_table import SimulationRun, print_comparison

LOADS = {
    "12 ranks": ArrivalLoad(entries=9, ranks=12, slots=6, rate=30.0, report_age=0.1),
    "63 ranks": ArrivalLoad(entries=46, ranks=63, slots=5, rate=120.0, report_age=0.35),
    "129 ranks": ArrivalLoad(
        entries=99, ranks=129, slots=3, rate=150.0, report_age=0.35
    ),
}
States = Sequence[DirectTargetState]
OwnSlots = Mapping[str, int]
"""Number of slots of each rank that are assigned to the entry."""


def least_loaded(
    states: States, elsewhere: RunningElsewhere, own_slots: OwnSlots, rng: random.Random
) -> DirectTargetState:
    """Choose a random rank among those with the fewest running requests."""
    return rng.choice(_least_loaded_ranks(states, elsewhere))


def own_among_least(
    states: States, elsewhere: RunningElsewhere, own_slots: OwnSlots, rng: random.Random
) -> DirectTargetState:
    """Choose among the ranks with the fewest running requests, own slots first."""
    least = _least_loaded_ranks(states, elsewhere)
    with_own_slots = [s for s in least if s.running < own_slots.get(s.target.name, 0)]
    return rng.choice(with_own_slots or least)


def weighted_by_free_slots(
    states: States, elsewhere: RunningElsewhere, own_slots: OwnSlots, rng: random.Random
) -> DirectTargetState:
    """Choose a random rank, weighted by free slots, as an entry without own slots."""
    return own_slots_first(states, elsewhere, {}, rng)


def own_slots_first(
    states: States, elsewhere: RunningElsewhere, own_slots: OwnSlots, rng: random.Random
) -> DirectTargetState:
    """Choose as the entry does in production."""
    chosen = choose_rank(states, elsewhere, own_slots, 0.0, rng)
    if chosen is None:
        raise ValueError("there are no ranks to choose from")
    return chosen


POLICIES = {
    "least running, by chance among equals": least_loaded,
    "the same, own slots first among equals": own_among_least,
    "by chance, weighed by what is free": weighted_by_free_slots,
    "own slots first, then by what is free": own_slots_first,
}


def measure_full_rank_share(run: SimulationRun) -> float:
    """Return the share of arrivals at a full rank in one simulation."""
    simulation = ArrivalSimulation(LOADS[run.load], run.seed, POLICIES[run.policy])
    return simulation.full_rank_share()


def main() -> None:
    """Run all simulations and print a table."""
    print_comparison("way", POLICIES, LOADS, measure_full_rank_share, docopt(__doc__))


def _least_loaded_ranks(
    states: States, elsewhere: RunningElsewhere
) -> list[DirectTargetState]:
    loads = [state.running + elsewhere(state.target.name) for state in states]
    least = min(loads)
    return [s for s, load in zip(states, loads, strict=True) if load == least]


if __name__ == "__main__":
    main()
