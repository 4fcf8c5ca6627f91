"""
Compare policies that choose one of several lock-step groups.

Usage:
  group_choice_run [--seeds=N] [--jobs=N]

Options:
  --seeds=N  Plays of each load and way [default: 4].
  --jobs=N   Processes at a time [default: 4].

Production entries and stand-in ranks run in virtual time, with twelve ranks in two or
three groups. Prints the callers' score, in which a late response counts half: median
(min..max).
"""

from dataclasses import replace

import anyio
from docopt import docopt
from loguru import logger

from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.admission.admission_rule import GroupCapacity
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.direct.groups.group_capacity import (
    GroupCapacities,
    groups_with_capacity,
)
from briarthread_measure import group_policies
from briarthread_measure.comparison_table import SimulationRun, print_comparison
from briarthread_standins.load_scenario import LoadScenario
from briarthread_standins.load_simulation import simulate_load

CAPACITY = 32.0
"""Requests per second that twelve ranks in two equal groups serve in time."""
LOADS = {
    "0.6 x": LoadScenario(0.6 * CAPACITY, ranks=12, groups=2),
    "1.5 x": LoadScenario(1.5 * CAPACITY, ranks=12, groups=2),
    "0.6 x, one 1.6 times slower": LoadScenario(
        0.6 * CAPACITY, ranks=12, groups=2, slow_factor=1.6
    ),
    "0.9 x, one 1.6 times slower": LoadScenario(
        0.9 * CAPACITY, ranks=12, groups=2, slow_factor=1.6
    ),
    "0.6 x, one away 5.5 s": LoadScenario(
        0.6 * CAPACITY, seconds=16.0, ranks=12, groups=2, outage_seconds=5.5
    ),
    "0.7 x, three groups, one 1.6 times slower": LoadScenario(
        0.7 * CAPACITY, ranks=12, groups=3, slow_factor=1.6
    ),
}
MEMBERSHIP_UNKNOWN = "groups not told apart"
POLICIES = {
    MEMBERSHIP_UNKNOWN: group_policies.any_group,
    "any group, by the rank": group_policies.any_group,
    "shortest predicted pass": group_policies.shortest_pass,
    "the better of two by chance": group_policies.better_of_two,
    "by chance, by free room": group_policies.weighted_by_free_capacity,
    "largest free part": group_policies.largest_free_share,
}


def forecast(
    entry: DirectEntry, group: GroupId, group_capacity: GroupCapacity
) -> group_policies.GroupForecast:
    """Return an entry's forecast for a group that gets one more request."""
    meter = entry.capacity.meters[group]
    cost = meter.request_cost(anyio.current_time()) or meter.initial_cost
    next_pass_seconds = meter.fixed_seconds + cost * (group_capacity.running + 1)
    return group_policies.GroupForecast(
        group_capacity.free, group_capacity.limit, next_pass_seconds
    )


def score_of(run: SimulationRun) -> float:
    """Return the callers' score in one simulation."""
    logger.remove()

    def prepare(entry: DirectEntry) -> None:
        def choose(capacities: GroupCapacities) -> set[GroupId]:
            forecasts = {
                group: forecast(entry, group, capacities[group])
                for group in groups_with_capacity(capacities)
            }
            if not forecasts:
                return set(capacities)
            return POLICIES[run.policy](forecasts, entry.admission.rng)

        entry.admission._allowed_groups = choose

    scenario = replace(
        LOADS[run.load],
        seed=run.seed,
        membership_reported=run.policy != MEMBERSHIP_UNKNOWN,
    )
    return simulate_load(scenario, prepare).score


def main() -> None:
    """Run all simulations and print a table."""
    print_comparison("way", POLICIES, LOADS, score_of, docopt(__doc__))


if __name__ == "__main__":
    main()
