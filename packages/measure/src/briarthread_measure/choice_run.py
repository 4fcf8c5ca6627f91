"""
Compare ways to choose a rank where many entries choose at the same time.

Usage:
  choice_run [--seeds=N] [--jobs=N]

Options:
  --seeds=N  Plays of each load, the same seeds for all ways [default: 3].
  --jobs=N   Processes to play with [default: 3].

Arrivals are drawn; what an entry knows of the others is as old as reports are.
The figure is the part of arrivals that meet a full rank: median (least..largest).
"""

import random
from collections.abc import Mapping, Sequence

from docopt import docopt

from briarthread_entry.direct.choose_target import RunningElsewhere, choose_rank
from briarthread_entry.direct.target_state import DirectTargetState
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
Home = Mapping[str, int]


def least_loaded(
    states: States, elsewhere: RunningElsewhere, home: Home, rng: random.Random
) -> DirectTargetState:
    """Choose among the ranks with the least running."""
    return rng.choice(_least(states, elsewhere))


def own_among_least(
    states: States, elsewhere: RunningElsewhere, home: Home, rng: random.Random
) -> DirectTargetState:
    """Choose among the ranks with the least running, own slots first."""
    least = _least(states, elsewhere)
    own = [s for s in least if s.running < home.get(s.target.name, 0)]
    return rng.choice(own or least)


def by_what_is_free(
    states: States, elsewhere: RunningElsewhere, home: Home, rng: random.Random
) -> DirectTargetState:
    """Choose by chance, weighed by what is free, as an entry without own slots."""
    return own_slots_first(states, elsewhere, {}, rng)


def own_slots_first(
    states: States, elsewhere: RunningElsewhere, home: Home, rng: random.Random
) -> DirectTargetState:
    """Choose as an entry does."""
    found = choose_rank(states, elsewhere, home, 0.0, rng)
    if found is None:
        raise ValueError("there are no ranks to choose from")
    return found


POLICIES = {
    "least running, by chance among equals": least_loaded,
    "the same, own slots first among equals": own_among_least,
    "by chance, weighed by what is free": by_what_is_free,
    "own slots first, then by what is free": own_slots_first,
}


def share_of(run: SimulationRun) -> float:
    """Return the part of arrivals that meet a full rank in one play."""
    day = ArrivalSimulation(LOADS[run.load], run.seed, POLICIES[run.policy])
    return day.full_rank_share()


def main() -> None:
    """Play everything and print a table."""
    print_comparison("way", POLICIES, LOADS, share_of, docopt(__doc__))


def _least(states: States, elsewhere: RunningElsewhere) -> list[DirectTargetState]:
    loads = [state.running + elsewhere(state.target.name) for state in states]
    least = min(loads)
    return [s for s, load in zip(states, loads, strict=True) if load == least]


if __name__ == "__main__":
    main()
