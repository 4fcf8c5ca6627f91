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

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from docopt import docopt
from loguru import logger

from briarthread_measure.expert_moves import spread_text
from briarthread_measure.left_out import VARIANTS
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


@dataclass(frozen=True, slots=True)
class Play:
    """One play: the variant by its place in the list, and the load."""

    variant: int
    day: LoadDay


def worth_of(play: Play) -> float:
    """Return what callers get in one play."""
    logger.remove()
    variant = VARIANTS[play.variant]
    with variant.applied():
        return play_load(play.day, variant.prepare).worth


def main() -> None:
    """Play everything and print a table."""
    arguments = docopt(__doc__)
    seeds = range(1, int(arguments["--seeds"]) + 1)
    print("| variant |", " | ".join(DAYS), "|")
    print("| --- |", " | ".join("---" for _ in DAYS), "|")
    with ProcessPoolExecutor(int(arguments["--jobs"])) as pool:
        for number, variant in enumerate(VARIANTS):
            cells = []
            for day in DAYS.values():
                plays = [Play(number, replace(day, seed=seed)) for seed in seeds]
                cells.append(spread_text(list(pool.map(worth_of, plays)), ".3f"))
            print(f"| {variant.name} |", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
