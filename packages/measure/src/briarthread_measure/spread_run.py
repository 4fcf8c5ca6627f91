"""
Measure how fast an accepted text takes effect in all processes, in virtual time.

Usage:
  spread_run [--seeds=N]

Options:
  --seeds=N  Runs of each size [default: 3].

Each run has two data centres with the same number of entries; every size also runs
with a tenth of the processes killed just before. The time is measured from the
acceptance of the text until it takes effect in the last live process, including the
poll of the platform.
"""

from dataclasses import dataclass

import anyio
from docopt import docopt
from loguru import logger

from briarthread_measure.expert_moves import format_median_range
from briarthread_measure.line_fit import fit_line
from briarthread_standins.virtual_time import run_virtual
from briarthread_standins.world import World

SIZES = (10, 20, 40, 80, 160)
DATA_CENTRES = ("one", "two")
FIRST_TEXT = (
    "[data_centre one]\n[data_centre two]\n[service cards]\ndata_centres = one, two\n"
)
CHANGED_TEXT = FIRST_TEXT + "queue = 9\n"
START_SECONDS = 20.0
IDLE_SECONDS = 20.0
CHECK_INTERVAL_SECONDS = 0.01
KILL_EVERY = 10
"""One process in this number is killed."""


@dataclass(frozen=True, slots=True)
class Propagation:
    """Seconds until the last process applied a change, and calls per process."""

    seconds: float
    messages: float


async def run(size: int, seed: int, with_failures: bool) -> Propagation:
    """Run one deployment and return the propagation of a change."""
    async with anyio.create_task_group() as tasks:
        world = World(tasks, seed)
        for number in range(size):
            for data_centre in DATA_CENTRES:
                world.add_entry(f"entry-{data_centre}-{number}", data_centre)
        await anyio.sleep(1)
        await world.apply(FIRST_TEXT)
        await anyio.sleep(START_SECONDS)
        messages_before = world.network.call_count
        await anyio.sleep(IDLE_SECONDS)
        idle_messages = world.network.call_count - messages_before
        if with_failures:
            for name in list(world.processes)[::KILL_EVERY]:
                world.kill(name)
        result = await measure_propagation(world, idle_messages / IDLE_SECONDS)
        tasks.cancel_scope.cancel()
    return result


async def measure_propagation(world: World, idle_rate: float) -> Propagation:
    """Apply a text and wait until every process has applied it."""
    messages_before = world.network.call_count
    start = world.clock.now()
    await world.apply(CHANGED_TEXT, base=1)
    accepted = world.clock.now()
    while set(world.text_versions().values()) != {2}:
        await anyio.sleep(CHECK_INTERVAL_SECONDS)
    seconds = world.clock.now() - accepted
    await anyio.sleep(1)
    background = idle_rate * (world.clock.now() - start)
    extra = world.network.call_count - messages_before - background
    return Propagation(seconds, extra / len(world.processes))


def main() -> None:
    """Print a line for each size."""
    seeds = int(docopt(__doc__)["--seeds"])
    logger.remove()
    for with_failures in (False, True):
        per_process = []
        for size in SIZES:
            runs = [
                run_virtual(run, size, seed, with_failures) for seed in range(seeds)
            ]
            seconds = format_median_range([result.seconds for result in runs], ".2f")
            messages = format_median_range([result.messages for result in runs], ".1f")
            per_process.append(sum(result.messages for result in runs) / seeds)
            state = "a tenth dead" if with_failures else "all alive"
            print(
                f"{size:4} entries a data centre, {state}: in force after "
                f"{seconds} s, calls a process {messages}",
                flush=True,
            )
        fit = fit_line(SIZES, per_process)
        print(f"slope {fit.slope:.4f} calls an entry, residual {fit.residual:.2f}")


if __name__ == "__main__":
    main()
