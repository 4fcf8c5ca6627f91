"""
Compare choices among plain targets that differ in speed.

Usage:
  uneven_run [--seeds=N] [--jobs=N]

Options:
  --seeds=N  Plays of each load, the same seeds for all ways [default: 2].
  --jobs=N   Processes to play with [default: 3].

Production entries and stand-in targets run in virtual time, with one target per data
centre. A cell holds, summed over the seeds, the responses in time / late / failed, then
the mean and the 95th percentile of the durations in milliseconds.
"""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from docopt import docopt
from loguru import logger

from briarthread_measure.admission_variants import leave_unchanged
from briarthread_measure.comparison_table import SimulationRun
from briarthread_measure.plain_policies import one_mean
from briarthread_standins.direct_config import DIARY
from briarthread_standins.limit_results import LimitResults
from briarthread_standins.limit_scenario import LimitScenario, ReleaseStep, SlowStep
from briarthread_standins.limit_simulation import simulate_limits

OBJECTIVE_SECONDS = 0.4
"""Objective of the stand-in's routes for a complete response."""
BASE = LimitScenario(
    entries=6, targets=3, service=DIARY, rate=100.0, seconds=12.0, steps=(), delay=0.1
)
"""Ten of 18 slots are in use on average."""
RELEASE = tuple(ReleaseStep(2.0 + 3.0 * n, n, 0.6, 2.5) for n in range(3))
FULL_IS_SLOW = SlowStep(0.0, 0.25, running=6, targets=3)
STEEP = replace(
    BASE,
    entries=3,
    rate=60.0,
    seconds=20.0,
    delay_sigma=0.4,
    steps=(FULL_IS_SLOW, SlowStep(0.0, 0.35, running=3)),
)
LOADS = {
    "equal": BASE,
    "equal, full": replace(BASE, rate=170.0),
    "equal, durations vary": replace(BASE, delay_sigma=0.8),
    "equal, unsafe": replace(BASE, kind="unsafe"),
    "one 6 times slower": replace(BASE, steps=(SlowStep(0.0, 0.6),)),
    "one 12 times slower for 4 s": replace(BASE, steps=(SlowStep(2.0, 1.2, 4.0),)),
    "one slower from half its slots on, all when full": STEEP,
    "the same, 6 times slower, 6 entries": replace(
        STEEP, entries=6, steps=(FULL_IS_SLOW, SlowStep(0.0, 0.6, running=3))
    ),
    "one never answers": replace(BASE, steps=(SlowStep(2.0, 1e6),)),
    "one never answers, unsafe": replace(
        BASE, kind="unsafe", steps=(SlowStep(2.0, 1e6),)
    ),
    "release": replace(BASE, steps=RELEASE),
    "release, unsafe": replace(BASE, steps=RELEASE, kind="unsafe"),
}
POLICIES = {"one mean": one_mean, "by load": leave_unchanged}


def play(run: SimulationRun) -> LimitResults:
    """Return the results of one load."""
    logger.remove()
    return simulate_limits(
        replace(LOADS[run.load], seed=run.seed), POLICIES[run.policy]
    )


def format_results(results: LimitResults) -> str:
    """
    Return the figures of a cell.

    >>> from collections import Counter
    >>> statuses = Counter({200: 2, 504: 1})
    >>> format_results(LimitResults(statuses=statuses, durations=[0.1, 0.5]))
    '1 / 1 / 1, 300, 500'
    """
    late = results.late(OBJECTIVE_SECONDS)
    in_time = len(results.durations) - late
    mean, high = results.mean_seconds(), results.percentile_seconds(0.95)
    return (
        f"{in_time} / {late} / {results.failed()}, {mean * 1000:.0f}, {high * 1000:.0f}"
    )


def sum_results(all_results: list[LimitResults]) -> LimitResults:
    """Return the callers' results of several plays together."""
    total = LimitResults()
    for results in all_results:
        total.statuses.update(results.statuses)
        total.durations.extend(results.durations)
    return total


def main() -> None:
    """Run all simulations and print a table."""
    arguments = docopt(__doc__)
    seeds = range(1, int(arguments["--seeds"]) + 1)
    print("| load |", " | ".join(POLICIES), "|")
    print("| --- |", " | ".join("---" for _ in POLICIES), "|")
    with ProcessPoolExecutor(int(arguments["--jobs"])) as pool:
        for load in LOADS:
            cells = []
            for policy in POLICIES:
                runs = [SimulationRun(policy, load, seed) for seed in seeds]
                cells.append(format_results(sum_results(list(pool.map(play, runs)))))
            print(f"| {load} |", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
