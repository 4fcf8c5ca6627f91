"""A table of ways by loads, each played with the same seeds."""

from collections.abc import Callable, Collection, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from briarthread_measure.expert_moves import format_median_range


@dataclass(frozen=True, slots=True)
class SimulationRun:
    """One play: the names of the way and of the load, and the seed."""

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
    Play everything and print a line for each way: median (least..largest).

    ``arguments`` are a command line's: ``--seeds`` plays of each, ``--jobs``
    processes to play with. ``figure`` runs in those.
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
