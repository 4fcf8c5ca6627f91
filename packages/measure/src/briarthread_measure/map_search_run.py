"""
Tell what one change of a group's map gains, and how long its search takes.

Usage:
  map_search_run [--seeds=N]

Options:
  --seeds=N  Draws of demand for each size [default: 3].

The experts of each set are dealt out in turn and their demand is drawn from
log-normal weights. Skew is the busiest rank's work over the mean, summed over the
sets; time is this process's own: median (least..largest). Each size is searched a
second time as if a load cost it what it costs a group of twelve.
"""

import math
import random
import time
from dataclasses import dataclass
from unittest import mock

from docopt import docopt

from briarthread_common.direct.expert_layout import ExpertLayout
from briarthread_common.direct.rank_client import Layers
from briarthread_common.messages.expert_map import NO_MAP, even_map
from briarthread_common.placement import set_rebalance
from briarthread_common.placement.rank_loads import slowest_load
from briarthread_common.placement.set_rebalance import PassDuration, search_set_changes
from briarthread_measure.expert_moves import format_median_range

SIZES = {
    12: ExpertLayout(sets=4, experts=72, slots_per_rank=8, max_new_experts=2),
    63: ExpertLayout(sets=8, experts=252, slots_per_rank=5, max_new_experts=2),
    129: ExpertLayout(sets=16, experts=258, slots_per_rank=3, max_new_experts=2),
}
COMMON = 0.65
"""Part of the demand that has the narrower of the two spreads."""
NARROW, WIDE = 0.8, 1.0
"""Deviations of the log-normal weights."""
FULL = PassDuration(0.12, 0.05)
"""A pass at the longest pause that callers accept, and its fixed part, s."""


@dataclass(frozen=True, slots=True)
class Found:
    """What one change gains: skew before and after, loads and milliseconds."""

    before: float
    after: float
    loads: int
    milliseconds: float


def search(ranks: int, seed: int) -> Found:
    """Search a change of the dealt map for one draw of demand."""
    figures = SIZES[ranks]
    rng = random.Random(seed)
    layers = even_map(NO_MAP, figures.sets, figures.experts, ranks).layers
    demand = [_draw(rng, figures.experts) for _ in range(figures.sets)]
    slowest = _slowest(layers, demand)
    better: Layers = []
    loads = 0
    started = time.process_time()
    for number, layer in enumerate(layers):
        others = sum(slowest) - slowest[number]
        *_, change = search_set_changes(layer, demand[number], others, figures, FULL)
        better.append(change.layer)
        loads += change.loads
    milliseconds = (time.process_time() - started) * 1000
    mean = sum(sum(counts) / ranks for counts in demand)
    after = sum(_slowest(better, demand)) / mean
    return Found(sum(slowest) / mean, after, loads, milliseconds)


def _draw(rng: random.Random, experts: int) -> list[float]:
    common = [rng.lognormvariate(0, NARROW) for _ in range(experts)]
    own = [rng.lognormvariate(0, WIDE) for _ in range(experts)]
    return [
        COMMON * one + (1 - COMMON) * other
        for one, other in zip(common, own, strict=True)
    ]


def _slowest(layers: Layers, demand: list[list[float]]) -> list[float]:
    return [
        slowest_load(layer, counts)
        for layer, counts in zip(layers, demand, strict=True)
    ]


def _row(name: str, found: list[Found]) -> str:
    cells = [
        format_median_range([one.before for one in found], ".2f"),
        format_median_range([one.after for one in found], ".2f"),
        format_median_range([float(one.loads) for one in found], ".0f"),
        format_median_range([one.milliseconds for one in found], ".0f"),
    ]
    return f"| {name} | {' | '.join(cells)} |"


def main() -> None:
    """Print two lines a size."""
    seeds = range(1, int(docopt(__doc__)["--seeds"]) + 1)
    print("| ranks | skew before | after | experts loaded | ms |")
    print("| --- | --- | --- | --- | --- |")
    for ranks in SIZES:
        print(_row(str(ranks), [search(ranks, seed) for seed in seeds]))
        with mock.patch.object(set_rebalance, "LOAD_COST_RANKS", math.inf):
            found = [search(ranks, seed) for seed in seeds]
        print(_row(f"{ranks}, at the cost of twelve", found))


if __name__ == "__main__":
    main()
