"""
Print what an entry and its callers undergo before targets whose bytes never end.

Usage:
  run_endless_bytes [--seconds=SECONDS] [--at-once=NUMBER] [KIND ...]

Options:
  --seconds=SECONDS  Time for which callers send, in each run [default: 6].
  --at-once=NUMBER   Runs at the same time [default: 2].

Without KIND all kinds are run, and first one with sound targets only.
"""

import tempfile
from pathlib import Path

import anyio
from docopt import docopt

from processes.endless_bytes import measure
from processes.endless_target import EndlessKind

PACES = ("fast", "trickle")


async def run(kinds: list[EndlessKind], seconds: float, at_once: int) -> None:
    """Run each kind at each pace, some at the same time."""
    limiter = anyio.CapacityLimiter(at_once)

    async def run_one(kind: EndlessKind | None, pace: str) -> None:
        async with limiter:
            with tempfile.TemporaryDirectory() as folder:
                result = await measure(Path(folder), kind, pace, seconds)
            print(f"{kind or 'undisturbed'} {pace}: {result.describe()}", flush=True)

    await run_one(None, "")
    async with anyio.create_task_group() as tasks:
        for kind in kinds:
            for pace in PACES:
                tasks.start_soon(run_one, kind, pace)


def main() -> None:
    """Run the command."""
    arguments = docopt(__doc__)
    kinds = [EndlessKind(word) for word in arguments["KIND"]] or list(EndlessKind)
    seconds, at_once = float(arguments["--seconds"]), int(arguments["--at-once"])
    anyio.run(run, kinds, seconds, at_once)


if __name__ == "__main__":
    main()
