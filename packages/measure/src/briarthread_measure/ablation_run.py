"""
Disable mechanisms of admission one by one and measure the callers' results.

Usage:
  ablation_run [--seeds=N] [--jobs=N]

Options:
  --seeds=N  Plays of each load, the same seeds for all variants [default: 5].
  --jobs=N   Processes to play with [default: 3].

Each load is simulated in virtual time with three entries and a group of six ranks that
serves 16 requests per second in time. The result is the share of requests served in
time plus half the share of those served late: median (min..max).
"""

from dataclasses import replace

from docopt import docopt
from loguru import logger

from briarthread_measure.admission_variants import VARIANTS
from briarthread_measure.comparison_table import SimulationRun, print_comparison
from briarthread_standins.load_scenario import LoadScenario
from briarthread_standins.load_simulation import simulate_load

CAPACITY = 16.0
LOADS = {
    "0.6 x": LoadScenario(0.6 * CAPACITY),
    "1.5 x": LoadScenario(1.5 * CAPACITY),
    "2.5 x": LoadScenario(2.5 * CAPACITY),
    "burst": LoadScenario(0.6 * CAPACITY, burst_factor=3.0),
    "away 2 s": LoadScenario(0.6 * CAPACITY, outage_seconds=2.0),
    "away 5.5 s": LoadScenario(0.6 * CAPACITY, seconds=16.0, outage_seconds=5.5),
    "away 8 s": LoadScenario(0.6 * CAPACITY, seconds=18.0, outage_seconds=8.0),
}
VARIANTS_BY_NAME = {variant.name: variant for variant in VARIANTS}


def score_of(run: SimulationRun) -> float:
    """Return the callers' score in one simulation."""
    logger.remove()
    variant = VARIANTS_BY_NAME[run.policy]
    with variant.applied():
        return simulate_load(
            replace(LOADS[run.load], seed=run.seed), variant.prepare
        ).score


def main() -> None:
    """Run all simulations and print a table."""
    print_comparison("variant", VARIANTS_BY_NAME, LOADS, score_of, docopt(__doc__))


if __name__ == "__main__":
    main()
