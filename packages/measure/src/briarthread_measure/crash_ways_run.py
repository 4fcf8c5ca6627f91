"""
Compare rules for whom to blame when targets crash, in virtual time.

Usage:
  crash_ways_run [--seeds=N] [--jobs=N]

Options:
  --seeds=N  Plays of each load [default: 3].
  --jobs=N   Processes to play with [default: 2].

The figure is the number of requests that are shut out: median (least..largest). In the
first load it should be one, the request that crashes its targets; in the others, where
targets crash by themselves and a third of the requests are alike, none.
"""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from unittest import mock

from docopt import docopt
from loguru import logger

from briarthread_entry.direct import crash_tracker
from briarthread_entry.direct.crash_rule import Strike
from briarthread_measure.comparison_table import SimulationRun, print_comparison
from briarthread_standins.crash_day import PLAIN, CrashDay
from briarthread_standins.play_crashes import play_crashes

SHORT = replace(PLAIN, seconds=20.0)
KILLED = replace(SHORT, every=100.0, alike=0.3, rate=60.0)
LOADS = {
    "one request crashes": SHORT,
    "1 target a second": replace(KILLED, kills=1, down=2.0),
    "3 targets a second": replace(KILLED, kills=3, down=1.0),
    "5 of 6 a second": replace(KILLED, kills=5, down=0.7),
    "ranks, 1 a second": CrashDay(
        every=100.0, alike=0.3, kills=1, down=0.4, rate=8.0, seconds=20.0
    ),
}


def every_strike(strikes: Iterable[Strike]) -> int:
    """Count each crash, also of runs that were under way together."""
    return len(list(strikes))


BOOK = crash_tracker.CrashTracker
NOT_PROVEN = (BOOK, "note_complete_response", lambda book, digest, now: None)
EVERY = (crash_tracker, "count_sequential_crashes", every_strike)
POLICIES: dict[str, tuple[tuple[object, str, object], ...]] = {
    "every strike counts": (EVERY, NOT_PROVEN),
    "one after the other only": (NOT_PROVEN,),
    "cleared by a whole answer only": (EVERY,),
    "both (as shipped)": (),
}


@contextmanager
def applied(policy: str) -> Iterator[None]:
    """Have a way in force."""
    patches = [mock.patch.object(*patch) for patch in POLICIES[policy]]
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()


def shut_out(run: SimulationRun) -> float:
    """Return how many requests are shut out in one play."""
    logger.remove()
    with applied(run.policy):
        return play_crashes(replace(LOADS[run.load], seed=run.seed)).shut_out


def main() -> None:
    """Play everything and print a table."""
    print_comparison("way", POLICIES, LOADS, shut_out, docopt(__doc__))


if __name__ == "__main__":
    main()
