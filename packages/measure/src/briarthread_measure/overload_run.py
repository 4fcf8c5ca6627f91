"""
Measure goodput under overload and fairness between accounts, in virtual time.

Usage:
  overload_run [--seeds=N]

Options:
  --seeds=N  Runs of each load, the same seeds for all [default: 3].

One entry serves two targets with four slots each and 50 ms per call, which together
handle 160 calls per second; callers set a timeout of 0.5 s. The baseline neither
predicts the waiting time nor limits retries. In the fairness runs one account requests
half of the capacity while another one requests nothing or ten times as much.
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
TIMEOUT_SECONDS = 0.5
LOAD_SECONDS = 6.0
LOADS = (0.5, 1.0, 2.0, 4.0)
TEXT = (
    "[data_centre one]\n[service cards]\ndata_centres = one\nidempotent = yes\n"
    f"slots = {SLOTS}\nqueue = 64\ndeadline = 5\npatience = 0.4\n"
)


class UnlimitedRetryBudget(RetryBudget):
    """Retry budget that allows every retry."""

    def spend(self, now: float) -> bool:
        """Allow the retry."""
        return True


class DeadlineUnawareQueue(FairQueue):
    """Fair queue that ignores deadlines."""

    def _check_deadline(self, ahead: int, deadline: float) -> None:
        return


async def start_world(
    tasks: anyio.abc.TaskGroup, seed: int, baseline: bool
) -> OpenLoad:
    """Start a world, with the baseline's retry budget and queues if requested."""
    world = World(tasks, seed)
    world.add_entry("entry-0", "one")
    for number in range(TARGETS):
        world.add_target(f"target-{number}", "one", "cards", SERVICE_SECONDS)
    load = OpenLoad(world, TEXT, seed)
    await load.start()
    if baseline:
        world.entry("entry-0").runner.budget = UnlimitedRetryBudget(started=0.0)
        for number in range(TARGETS):
            world.agent(f"target-{number}").queue.__class__ = DeadlineUnawareQueue
            world.agent(f"target-{number}").queue.service_time = DecayingMean()
    return load


async def run_overload(
    load_factor: float, seed: int, baseline: bool
) -> tuple[LoadResults, LoadResults, float]:
    """Return the results under load and after it, and the calls per request."""
    async with anyio.create_task_group() as tasks:
        load = await start_world(tasks, seed, baseline)
        messages_before = load.world.network.call_count
        results = await load.run(
            "caller", load_factor * CAPACITY, LOAD_SECONDS, TIMEOUT_SECONDS
        )
        calls_per_request = (
            load.world.network.call_count - messages_before
        ) / results.requests
        after = await load.run("caller", 0.5 * CAPACITY, 2.0, TIMEOUT_SECONDS)
        tasks.cancel_scope.cancel()
    return results, after, calls_per_request


async def run_fairness(large_factor: float, seed: int) -> LoadResults:
    """Return the results of a small account beside a large one."""
    small_results: list[LoadResults] = []
    async with anyio.create_task_group() as tasks:
        load = await start_world(tasks, seed, False)

        async def run_small_account() -> None:
            rate = 0.5 * CAPACITY
            small_results.append(
                await load.run("caller", rate, LOAD_SECONDS, TIMEOUT_SECONDS)
            )

        async with anyio.create_task_group() as loads:
            loads.start_soon(run_small_account)
            if large_factor:
                rate = large_factor * CAPACITY
                loads.start_soon(load.run, "large", rate, LOAD_SECONDS, TIMEOUT_SECONDS)
        tasks.cancel_scope.cancel()
    return small_results[0]


def print_overload(seeds: int, baseline: bool) -> None:
    """Print a line for each load."""
    for factor in LOADS:
        runs = [
            run_virtual(run_overload, factor, seed, baseline) for seed in range(seeds)
        ]
        goodput = [result.successes / LOAD_SECONDS / CAPACITY for result, _, _ in runs]
        late = [result.unknown / result.requests for result, _, _ in runs]
        refusal = [
            percentile(result.refusal_latencies or [0.0], 0.99) * 1000
            for result, _, _ in runs
        ]
        after = [results.successes / results.requests for _, results, _ in runs]
        calls = [calls_per_request for _, _, calls_per_request in runs]
        print(
            f"{'baseline' if baseline else 'briarthread':12} load {factor:3} "
            f"goodput {format_median_range(goodput, '.2f')}, "
            f"late {format_median_range(late, '.3f')}, "
            f"refusal p99 {format_median_range(refusal, '.0f')} ms, calls a request "
            f"{format_median_range(calls, '.1f')}, "
            f"good after {format_median_range(after, '.2f')}",
            flush=True,
        )


def main() -> None:
    """Print a line for each load and for each fairness run."""
    seeds = int(docopt(__doc__)["--seeds"])
    logger.remove()
    for baseline in (True, False):
        print_overload(seeds, baseline)
    for factor in (0.0, 5.0):
        runs = [run_virtual(run_fairness, factor, seed) for seed in range(seeds)]
        good = format_median_range(
            [result.successes / result.requests for result in runs], ".3f"
        )
        p99 = format_median_range(
            [percentile(result.latencies, 0.99) * 1000 for result in runs], ".0f"
        )
        print(
            f"beside a large account at {factor:g}x: good {good}, p99 {p99} ms",
            flush=True,
        )


if __name__ == "__main__":
    main()
