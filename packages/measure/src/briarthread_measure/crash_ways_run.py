"""
Compare rules that attribute target crashes to requests, in virtual time.

Usage:
  crash_ways_run [--seeds=N] [--jobs=N]

Options:
  --seeds=N  Plays of each load [default: 3].
  --jobs=N   Processes to play with [default: 2].

The result is the number of blocked requests: median (min..max). It should be one under
the first load, for the request that crashes its targets, and zero under the others,
where targets crash by themselves and a third of the requests are identical.
"""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from unittest import mock

from docopt import docopt
from loguru import logger

from briarthread_entry.direct.crashes import crash_tracker
from briarthread_entry.direct.crashes.crash_rule import Strike
from briarthread_measure.comparison_table import SimulationRun, print_comparison
from briarthread_standins.crash_scenario import PLAIN_SERVICE, CrashScenario
from briarthread_standins.crash_simulation import simulate_crashes

SHORT_SCENARIO = replace(PLAIN_SERVICE, seconds=20.0)
RANDOM_CRASHES = replace(
    SHORT_SCENARIO, crash_interval=100.0, identical_share=0.3, rate=60.0
)
LOADS = {
    "one request crashes": SHORT_SCENARIO,
    "1 target a second": replace(
        RANDOM_CRASHES, crashes_per_second=1, down_seconds=2.0
    ),
    "3 targets a second": replace(
        RANDOM_CRASHES, crashes_per_second=3, down_seconds=1.0
    ),
    "5 of 6 a second": replace(RANDOM_CRASHES, crashes_per_second=5, down_seconds=0.7),
    "ranks, 1 a second": CrashScenario(
        crash_interval=100.0,
        identical_share=0.3,
        crashes_per_second=1,
        down_seconds=0.4,
        rate=8.0,
        seconds=20.0,
    ),
}


def count_all_crashes(strikes: Iterable[Strike]) -> int:
    """Count each crash, also of runs that overlapped."""
    return len(list(strikes))


TRACKER = crash_tracker.CrashTracker
WITHOUT_CLEARING = (
    TRACKER,
    "note_complete_response",
    lambda tracker, digest, now: None,
)
COUNT_ALL = (crash_tracker, "count_sequential_crashes", count_all_crashes)
POLICIES: dict[str, tuple[tuple[object, str, object], ...]] = {
    "every strike counts": (COUNT_ALL, WITHOUT_CLEARING),
    "one after the other only": (WITHOUT_CLEARING,),
    "cleared by a whole answer only": (COUNT_ALL,),
    "both (as shipped)": (),
}


@contextmanager
def applied(policy: str) -> Iterator[None]:
    """Apply the patches of a policy within the context."""
    patches = [mock.patch.object(*patch) for patch in POLICIES[policy]]
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()


def count_blocked(run: SimulationRun) -> float:
    """Return the number of requests blocked in one simulation."""
    logger.remove()
    with applied(run.policy):
        return simulate_crashes(
            replace(LOADS[run.load], seed=run.seed)
        ).blocked_requests


def main() -> None:
    """Run all simulations and print a table."""
    print_comparison("way", POLICIES, LOADS, count_blocked, docopt(__doc__))


if __name__ == "__main__":
    main()
