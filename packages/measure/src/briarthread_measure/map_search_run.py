"""
Measure the gain of one change of a group's map and the duration of its search.

Usage:
  map_search_run [--seeds=N]

Options:
  --seeds=N  Draws of demand for each size [default: 3].

The experts of each set are assigned to the ranks round-robin, and their demand is drawn
from log-normal weights. Skew is the load of the busiest rank over the mean, summed over
the sets; time is the CPU time of this process: median (min..max). Each size is searched
a second time with the cost of an expert load that applies to a group of twelve ranks.
"""

import math
import random
import time
from dataclasses import dataclass
from unittest import mock

from docopt import docopt

from briarthread_common.direct.expert_layout import ExpertLayout
from briarthread_common.direct.rank_client import Layers
from briarthread_common.messages.expert_map import NO_MAP_VERSION, round_robin_map
from briarthread_common.placement import set_rebalance
from briarthread_common.placement.rank_loads import slowest_load
from briarthread_common.placement.set_rebalance import PassDuration, search_set_changes
from briarthread_measure.expert_moves import format_median_range

SIZES = {
    12: ExpertLayout(sets=4, experts=72, slots_per_rank=8, max_new_experts=2),
    63: ExpertLayout(sets=8, experts=252, slots_per_rank=5, max_new_experts=2),
    129: ExpertLayout(sets=16, experts=258, slots_per_rank=3, max_new_experts=2),
}
NARROW_SHARE = 0.65
"""Share of the demand drawn from the narrower of the two distributions."""
NARROW_SIGMA, WIDE_SIGMA = 0.8, 1.0
"""Sigmas of the two log-normal distributions."""
LONGEST_PASS = PassDuration(0.12, 0.05)
"""Pass of the longest pause that callers accept, and its fixed part, in seconds."""


@dataclass(frozen=True, slots=True)
class SearchResult:
    """Skew before and after a change, its expert loads, and the search time."""

    before: float
    after: float
    loads: int
    milliseconds: float


def search(ranks: int, seed: int) -> SearchResult:
    """Search a change of the round-robin map for one draw of demand."""
    layout = SIZES[ranks]
    rng = random.Random(seed)
    layers = round_robin_map(NO_MAP_VERSION, layout.sets, layout.experts, ranks).layers
    demand = [_draw_demand(rng, layout.experts) for _ in range(layout.sets)]
    slowest_loads = _slowest_loads(layers, demand)
    changed_layers: Layers = []
    loads = 0
    started = time.process_time()
    for number, layer in enumerate(layers):
        other_sets = sum(slowest_loads) - slowest_loads[number]
        *_, change = search_set_changes(
            layer, demand[number], other_sets, layout, LONGEST_PASS
        )
        changed_layers.append(change.layer)
        loads += change.loads
    milliseconds = (time.process_time() - started) * 1000
    mean = sum(sum(counts) / ranks for counts in demand)
    after = sum(_slowest_loads(changed_layers, demand)) / mean
    return SearchResult(sum(slowest_loads) / mean, after, loads, milliseconds)


def _draw_demand(rng: random.Random, experts: int) -> list[float]:
    narrow = [rng.lognormvariate(0, NARROW_SIGMA) for _ in range(experts)]
    wide = [rng.lognormvariate(0, WIDE_SIGMA) for _ in range(experts)]
    return [
        NARROW_SHARE * one + (1 - NARROW_SHARE) * other
        for one, other in zip(narrow, wide, strict=True)
    ]


def _slowest_loads(layers: Layers, demand: list[list[float]]) -> list[float]:
    return [
        slowest_load(layer, counts)
        for layer, counts in zip(layers, demand, strict=True)
    ]


def _format_row(name: str, results: list[SearchResult]) -> str:
    cells = [
        format_median_range([result.before for result in results], ".2f"),
        format_median_range([result.after for result in results], ".2f"),
        format_median_range([float(result.loads) for result in results], ".0f"),
        format_median_range([result.milliseconds for result in results], ".0f"),
    ]
    return f"| {name} | {' | '.join(cells)} |"


def main() -> None:
    """Print two rows for each size."""
    seeds = range(1, int(docopt(__doc__)["--seeds"]) + 1)
    print("| ranks | skew before | after | experts loaded | ms |")
    print("| --- | --- | --- | --- | --- |")
    for ranks in SIZES:
        print(_format_row(str(ranks), [search(ranks, seed) for seed in seeds]))
        with mock.patch.object(set_rebalance, "LOAD_COST_RANKS", math.inf):
            results = [search(ranks, seed) for seed in seeds]
        print(_format_row(f"{ranks}, at the cost of twelve", results))


if __name__ == "__main__":
    main()
