"""
Compare ways to choose one of several lock-step groups.

Usage:
  group_choice_run [--seeds=N] [--jobs=N]

Options:
  --seeds=N  Plays of each load and way [default: 4].
  --jobs=N   Processes at a time [default: 4].

Real entries and stand-in ranks in virtual time, twelve ranks in two or three groups.
Prints the worth of what callers get (a late answer counts half): median
(least..largest).
"""

from dataclasses import replace

import anyio
from docopt import docopt
from loguru import logger

from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.admission_rule import GroupCapacity
from briarthread_entry.direct.direct_entry import DirectEntry
from briarthread_entry.direct.group_capacity import (
    GroupCapacities,
    groups_with_capacity,
)
from briarthread_measure import group_policies
from briarthread_measure.comparison_table import SimulationRun, print_comparison
from briarthread_standins.load_day import LoadDay
from briarthread_standins.play_load import play_load

CAPACITY = 32.0
"""Requests a second that twelve ranks of two like groups serve in time."""
LOADS = {
    "0.6 x": LoadDay(0.6 * CAPACITY, ranks=12, groups=2),
    "1.5 x": LoadDay(1.5 * CAPACITY, ranks=12, groups=2),
    "0.6 x, one 1.6 times slower": LoadDay(
        0.6 * CAPACITY, ranks=12, groups=2, slow=1.6
    ),
    "0.9 x, one 1.6 times slower": LoadDay(
        0.9 * CAPACITY, ranks=12, groups=2, slow=1.6
    ),
    "0.6 x, one away 5.5 s": LoadDay(
        0.6 * CAPACITY, seconds=16.0, ranks=12, groups=2, outage_seconds=5.5
    ),
    "0.7 x, three groups, one 1.6 times slower": LoadDay(
        0.7 * CAPACITY, ranks=12, groups=3, slow=1.6
    ),
}
NOT_TOLD = "groups not told apart"
POLICIES = {
    NOT_TOLD: group_policies.any_group,
    "any group, by the rank": group_policies.any_group,
    "shortest predicted pass": group_policies.shortest_pass,
    "the better of two by chance": group_policies.better_of_two,
    "by chance, by free room": group_policies.weighted_by_free_capacity,
    "largest free part": group_policies.largest_free_share,
}


def outlook(
    entry: DirectEntry, group: GroupId, room: GroupCapacity
) -> group_policies.GroupForecast:
    """Return what an entry expects of a group that gets one request more."""
    meter = entry.capacity.meters[group]
    each = meter.request_cost(anyio.current_time()) or meter.initial_cost
    next_pass_seconds = meter.fixed_seconds + each * (room.running + 1)
    return group_policies.GroupForecast(room.free, room.limit, next_pass_seconds)


def worth_of(run: SimulationRun) -> float:
    """Return what callers get in a play."""
    logger.remove()

    def prepare(entry: DirectEntry) -> None:
        def choose(rooms: GroupCapacities) -> set[GroupId]:
            with_room = {
                group: outlook(entry, group, rooms[group])
                for group in groups_with_capacity(rooms)
            }
            if not with_room:
                return set(rooms)
            return POLICIES[run.policy](with_room, entry.admission.rng)

        entry.admission._allowed_groups = choose

    day = replace(LOADS[run.load], seed=run.seed, told=run.policy != NOT_TOLD)
    return play_load(day, prepare).worth


def main() -> None:
    """Print a table with a line for each way."""
    print_comparison("way", POLICIES, LOADS, worth_of, docopt(__doc__))


if __name__ == "__main__":
    main()
