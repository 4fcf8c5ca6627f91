"""Table that compares policies under several loads, with the same seeds for all."""

from collections.abc import Callable, Collection, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from briarthread_measure.expert_moves import format_median_range


@dataclass(frozen=True, slots=True)
class SimulationRun:
    """Name of the policy, name of the load and seed of one simulation."""

    policy: str
    load: str
    seed: int


def print_comparison(
    title: str,
    policies: Collection[str],
    loads: Collection[str],
    measure: Callable[[SimulationRun], float],
    arguments: Mapping[str, str],
) -> None:
    """
    Run all simulations and print a row for each policy: median (min..max).

    ``arguments`` are those of the command line: ``--seeds`` simulations of each
    policy and load, in ``--jobs`` worker processes, which call ``measure``.
    """
    seeds = range(1, int(arguments["--seeds"]) + 1)
    print(f"| {title} |", " | ".join(loads), "|")
    print("| --- |", " | ".join("---" for _ in loads), "|")
    with ProcessPoolExecutor(int(arguments["--jobs"])) as pool:
        for policy in policies:
            cells = []
            for load in loads:
                runs = [SimulationRun(policy, load, seed) for seed in seeds]
                cells.append(format_median_range(list(pool.map(measure, runs)), ".3f"))
            print(f"| {policy} |", " | ".join(cells), "|", flush=True)
