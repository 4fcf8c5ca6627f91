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
from briarthread_measure import group_ways
from briarthread_measure.ways_table import Play, print_ways
from briarthread_standins.load_scenario import LoadScenario
from briarthread_standins.load_simulation import simulate_load

CAPACITY = 32.0
"""Requests a second that twelve ranks of two like groups serve in time."""
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
NOT_TOLD = "groups not told apart"
WAYS = {
    NOT_TOLD: group_ways.any_group,
    "any group, by the rank": group_ways.any_group,
    "shortest predicted pass": group_ways.least_pass,
    "the better of two by chance": group_ways.two_by_chance,
    "by chance, by free room": group_ways.by_free_room,
    "largest free part": group_ways.by_free_share,
}


def outlook(
    entry: DirectEntry, group: GroupId, room: GroupCapacity
) -> group_ways.GroupOutlook:
    """Return what an entry expects of a group that gets one request more."""
    meter = entry.capacity.meters[group]
    each = meter.request_cost(anyio.current_time()) or meter.initial_cost
    next_pass = meter.fixed_seconds + each * (room.running + 1)
    return group_ways.GroupOutlook(room.free, room.limit, next_pass)


def worth_of(play: Play) -> float:
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
            return WAYS[play.way](with_room, entry.admission.rng)

        entry.admission._allowed_groups = choose

    day = replace(
        LOADS[play.load], seed=play.seed, membership_reported=play.way != NOT_TOLD
    )
    return simulate_load(day, prepare).score


def main() -> None:
    """Print a table with a line for each way."""
    print_ways("way", WAYS, LOADS, worth_of, docopt(__doc__))


if __name__ == "__main__":
    main()
