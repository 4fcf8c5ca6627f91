"""
Measure goodput under overload and fairness between accounts, in virtual time.

Usage:
  overload_run [--seeds=N]

Options:
  --seeds=N  Runs of each load, the same seeds for all [default: 3].

One entry stands before two targets of four slots at 50 ms a call, which can do
160 calls a second; callers give 0.5 s. The baseline neither predicts the wait
nor bounds retries. Fairness: one account asks for half of the capacity while
another one asks for none, or for ten times its half.
"""

import anyio
from docopt import docopt
from loguru import logger

from briarthread_agent.limits.fair_queue import FairQueue
from briarthread_common.utils.decaying_mean import DecayingMean
from briarthread_entry.retries.retry_budget import RetryBudget
from briarthread_measure.expert_moves import format_median_range, percentile
from briarthread_measure.open_load import LoadResults, OpenLoad
from briarthread_standins.virtual_time import run_virtual
from briarthread_standins.world import World

TARGETS, SLOTS = 2, 4
SERVICE_SECONDS = 0.05
CAPACITY = TARGETS * SLOTS / SERVICE_SECONDS
TIMEOUT = 0.5
SECONDS = 6.0
LOADS = (0.5, 1.0, 2.0, 4.0)
TEXT = (
    "[data_centre one]\n[service cards]\ndata_centres = one\nidempotent = yes\n"
    f"slots = {SLOTS}\nqueue = 64\ndeadline = 5\npatience = 0.4\n"
)


class EndlessBudget(RetryBudget):
    """Allow every retry."""

    def spend(self, now: float) -> bool:
        """Allow it."""
        return True


class BlindQueue(FairQueue):
    """Queue without a look at deadlines."""

    def _check_deadline(self, ahead: int, deadline: float) -> None:
        return


async def start_world(tasks: anyio.abc.TaskGroup, seed: int, blind: bool) -> OpenLoad:
    """Bring a world up, with the baseline's parts if asked for."""
    world = World(tasks, seed)
    world.add_entry("entry-0", "one")
    for number in range(TARGETS):
        world.add_target(f"target-{number}", "one", "cards", SERVICE_SECONDS)
    load = OpenLoad(world, TEXT, seed)
    await load.start()
    if blind:
        world.entry("entry-0").runner.budget = EndlessBudget()
        for number in range(TARGETS):
            world.agent(f"target-{number}").queue.__class__ = BlindQueue
            world.agent(f"target-{number}").queue.service_time = DecayingMean()
    return load


async def run_overload(
    load_part: float, seed: int, blind: bool
) -> tuple[LoadResults, LoadResults, float]:
    """Return the tallies under load and after it, and attempts a request."""
    async with anyio.create_task_group() as tasks:
        load = await start_world(tasks, seed, blind)
        before = load.world.network.messages
        tally = await load.run("caller", load_part * CAPACITY, SECONDS, TIMEOUT)
        attempts = (load.world.network.messages - before) / tally.requests
        after = await load.run("caller", 0.5 * CAPACITY, 2.0, TIMEOUT)
        tasks.cancel_scope.cancel()
    return tally, after, attempts


async def run_fairness(large_part: float, seed: int) -> LoadResults:
    """Return the small account's tally beside a large one."""
    tallies: list[LoadResults] = []
    async with anyio.create_task_group() as tasks:
        load = await start_world(tasks, seed, False)

        async def small() -> None:
            rate = 0.5 * CAPACITY
            tallies.append(await load.run("caller", rate, SECONDS, TIMEOUT))

        async with anyio.create_task_group() as loads:
            loads.start_soon(small)
            if large_part:
                rate = large_part * CAPACITY
                loads.start_soon(load.run, "large", rate, SECONDS, TIMEOUT)
        tasks.cancel_scope.cancel()
    return tallies[0]


def show_overload(seeds: int, blind: bool) -> None:
    """Print a line a load."""
    for part in LOADS:
        runs = [run_virtual(run_overload, part, seed, blind) for seed in range(seeds)]
        goodput = [one.good / SECONDS / CAPACITY for one, _, _ in runs]
        late = [one.unknown / one.requests for one, _, _ in runs]
        refusal = [
            percentile(one.refusal_latencies or [0.0], 0.99) * 1000
            for one, _, _ in runs
        ]
        after = [tally.good / tally.requests for _, tally, _ in runs]
        calls = [attempts for _, _, attempts in runs]
        print(
            f"{'baseline' if blind else 'briarthread':12} load {part:3} "
            f"goodput {format_median_range(goodput, '.2f')}, "
            f"late {format_median_range(late, '.3f')}, "
            f"refusal p99 {format_median_range(refusal, '.0f')} ms, calls a request "
            f"{format_median_range(calls, '.1f')}, "
            f"good after {format_median_range(after, '.2f')}",
            flush=True,
        )


def main() -> None:
    """Print a line a load and a line a fairness run."""
    seeds = int(docopt(__doc__)["--seeds"])
    logger.remove()
    for blind in (True, False):
        show_overload(seeds, blind)
    for part in (0.0, 5.0):
        runs = [run_virtual(run_fairness, part, seed) for seed in range(seeds)]
        good = format_median_range([one.good / one.requests for one in runs], ".3f")
        p99 = format_median_range(
            [percentile(one.latencies, 0.99) * 1000 for one in runs], ".0f"
        )
        print(
            f"beside a large account at {part:g}x: good {good}, p99 {p99} ms",
            flush=True,
        )


if __name__ == "__main__":
    main()
