"""
Measure how fast an accepted text is in force everywhere, in virtual time.

Usage:
  spread_run [--seeds=N]

Options:
  --seeds=N  Runs of each size [default: 3].

Each run has two data centres of so many entries each; one run in two kills a
tenth of them just before. Seconds go from the text's acceptance to its being
in force in the last living process, with the poll of the platform included.
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
SITES = ("one", "two")
FIRST_TEXT = (
    "[data_centre one]\n[data_centre two]\n[service cards]\ndata_centres = one, two\n"
)
CHANGED_TEXT = FIRST_TEXT + "queue = 9\n"
START_SECONDS = 20.0
QUIET_SECONDS = 20.0
LOOK_SECONDS = 0.01
DEAD_PART = 10


@dataclass(frozen=True, slots=True)
class Spread:
    """Hold the seconds to the last process and the calls a process made."""

    seconds: float
    messages: float


async def run(size: int, seed: int, failing: bool) -> Spread:
    """Run one deployment and return what a change took."""
    async with anyio.create_task_group() as tasks:
        world = World(tasks, seed)
        for number in range(size):
            for site in SITES:
                world.add_entry(f"entry-{site}-{number}", site)
        await anyio.sleep(1)
        await world.apply(FIRST_TEXT)
        await anyio.sleep(START_SECONDS)
        before = world.network.messages
        await anyio.sleep(QUIET_SECONDS)
        quiet = world.network.messages - before
        if failing:
            for name in list(world.members)[::DEAD_PART]:
                world.kill(name)
        result = await time_change(world, quiet / QUIET_SECONDS)
        tasks.cancel_scope.cancel()
    return result


async def time_change(world: World, quiet_rate: float) -> Spread:
    """Apply a text and wait until every process has it."""
    before = world.network.messages
    start = world.clock.now()
    await world.apply(CHANGED_TEXT, base=1)
    accepted = world.clock.now()
    while set(world.text_versions().values()) != {2}:
        await anyio.sleep(LOOK_SECONDS)
    seconds = world.clock.now() - accepted
    await anyio.sleep(1)
    background = quiet_rate * (world.clock.now() - start)
    extra = world.network.messages - before - background
    return Spread(seconds, extra / len(world.members))


def main() -> None:
    """Print a line a size."""
    seeds = int(docopt(__doc__)["--seeds"])
    logger.remove()
    for failing in (False, True):
        per_process = []
        for size in SIZES:
            runs = [run_virtual(run, size, seed, failing) for seed in range(seeds)]
            seconds = format_median_range([one.seconds for one in runs], ".2f")
            messages = format_median_range([one.messages for one in runs], ".1f")
            per_process.append(sum(one.messages for one in runs) / seeds)
            state = "a tenth dead" if failing else "all alive"
            print(
                f"{size:4} entries a data centre, {state}: in force after "
                f"{seconds} s, calls a process {messages}",
                flush=True,
            )
        fit = fit_line(SIZES, per_process)
        print(f"slope {fit.slope:.4f} calls an entry, residual {fit.residual:.2f}")


if __name__ == "__main__":
    main()
