"""
Leave mechanisms of admission out, one by one, and tell what callers get.

Usage:
  ablation_run [--seeds=N] [--jobs=N]

Options:
  --seeds=N  Plays of each load, the same seeds for all variants [default: 5].
  --jobs=N   Processes to play with [default: 3].

Each load is played through three entries on a group of six ranks that serves
16 requests a second in time, in virtual time. The figure is the share of
requests in time and half of those served late: median (least..largest).
"""

from dataclasses import replace

from docopt import docopt
from loguru import logger

from briarthread_measure.admission_variants import VARIANTS
from briarthread_measure.comparison_table import SimulationRun, print_comparison
from briarthread_standins.load_day import LoadDay
from briarthread_standins.play_load import play_load

CAPACITY = 16.0
DAYS = {
    "0.6 x": LoadDay(0.6 * CAPACITY),
    "1.5 x": LoadDay(1.5 * CAPACITY),
    "2.5 x": LoadDay(2.5 * CAPACITY),
    "burst": LoadDay(0.6 * CAPACITY, burst=3.0),
    "away 2 s": LoadDay(0.6 * CAPACITY, outage_seconds=2.0),
    "away 5.5 s": LoadDay(0.6 * CAPACITY, seconds=16.0, outage_seconds=5.5),
    "away 8 s": LoadDay(0.6 * CAPACITY, seconds=18.0, outage_seconds=8.0),
}
BY_NAME = {variant.name: variant for variant in VARIANTS}


def worth_of(run: SimulationRun) -> float:
    """Return what callers get in one play."""
    logger.remove()
    variant = BY_NAME[run.policy]
    with variant.applied():
        return play_load(replace(DAYS[run.load], seed=run.seed), variant.prepare).worth


def main() -> None:
    """Play everything and print a table."""
    print_comparison("variant", BY_NAME, DAYS, worth_of, docopt(__doc__))


if __name__ == "__main__":
    main()
