"""
Compare policies that choose a target, in virtual time with the production code.

Usage:
  routing_run [--seeds=N]

Options:
  --seeds=N  Runs of each way, the same seeds for all [default: 5].

Two entries serve eight targets with four slots each, one of which is three times as
slow as the others. Requests arrive at random at 70 % of the targets' capacity.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
from docopt import docopt
from loguru import logger

from briarthread_entry.routing.choose_target import Choose, choose_target
from briarthread_entry.routing.target_state import TargetState
from briarthread_measure.expert_moves import format_median_range, percentile
from briarthread_measure.open_load import LoadResults, OpenLoad
from briarthread_standins.virtual_time import run_virtual
from briarthread_standins.world import World

ENTRIES, TARGETS, SLOTS = 2, 8, 4
SERVICE_SECONDS = 0.05
SLOW_FACTOR = 3.0
LOAD_FACTOR = 0.7
LOAD_SECONDS = 10.0
TEXT = (
    "[data_centre one]\n[service cards]\ndata_centres = one\nidempotent = yes\n"
    f"slots = {SLOTS}\nqueue = 200\ndeadline = 5\n"
)


def choose_random(
    states: Sequence[TargetState], now: float, rng: random.Random
) -> TargetState | None:
    """Choose a random usable target."""
    usable = [state for state in states if state.usable(now)]
    return rng.choice(usable) if usable else None


@dataclass(slots=True)
class RoundRobin:
    """Choose usable targets in round-robin order."""

    calls: int = 0

    def __call__(
        self, states: Sequence[TargetState], now: float, rng: random.Random
    ) -> TargetState | None:
        """Return the next target."""
        usable = [state for state in states if state.usable(now)]
        self.calls += 1
        return usable[self.calls % len(usable)] if usable else None


def choose_least_requests(
    states: Sequence[TargetState], now: float, rng: random.Random
) -> TargetState | None:
    """Choose the least reported load, ignoring requests sent since the report."""
    usable = [state for state in states if state.usable(now)]
    return min(
        usable, key=lambda s: (s.report.r + s.report.q, rng.random()), default=None
    )


POLICIES: dict[str, Callable[[], Choose]] = {
    "random": lambda: choose_random,
    "round robin": RoundRobin,
    "least reported": lambda: choose_least_requests,
    "cheaper of two": lambda: choose_target,
}


async def run(policy: str, seed: int) -> LoadResults:
    """Run one policy with one seed."""
    async with anyio.create_task_group() as tasks:
        world = World(tasks, seed)
        for number in range(ENTRIES):
            world.add_entry(f"entry-{number}", "one")
        for number in range(TARGETS):
            delay = SERVICE_SECONDS * (SLOW_FACTOR if number == 0 else 1.0)
            world.add_target(f"target-{number}", "one", "cards", delay)
        load = OpenLoad(world, TEXT, seed)
        await load.start()
        for number in range(ENTRIES):
            world.entry(f"entry-{number}").router.choose = POLICIES[policy]()
        capacity = SLOTS * (TARGETS - 1 + 1 / SLOW_FACTOR) / SERVICE_SECONDS
        results = await load.run("caller", LOAD_FACTOR * capacity, LOAD_SECONDS, 5.0)
        tasks.cancel_scope.cancel()
    return results


def main() -> None:
    """Print a line for each policy."""
    seeds = int(docopt(__doc__)["--seeds"])
    logger.remove()
    for policy in POLICIES:
        runs = [run_virtual(run, policy, seed) for seed in range(seeds)]
        columns = [
            f"p{quantile * 100:.0f} "
            + format_median_range(
                [percentile(result.latencies, quantile) * 1000 for result in runs],
                ".0f",
            )
            for quantile in (0.5, 0.95, 0.99)
        ]
        failed = sum(result.refused + result.unknown for result in runs)
        print(f"{policy:16} ms {', '.join(columns)}; {failed} failed", flush=True)


if __name__ == "__main__":
    main()
