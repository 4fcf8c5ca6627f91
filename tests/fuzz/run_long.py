"""
Fuzz with fresh seeds for a while, outside CI.

Usage:
  run_long [--minutes=N] (bookings | maps)

Options:
  --minutes=N  How long to run [default: 10].

It prints the counts of steps, faults and answers. It exits with 1 when the
oracle found a violation; the steps that led there are printed.
"""

import sys
import time
import traceback
from pathlib import Path

from docopt import docopt
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from loguru import logger

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fuzz.booking_machine import BookingMachine  # noqa: E402
from fuzz.map_machine import MapMachine  # noqa: E402
from fuzz.world_machine import WorldMachine, counts  # noqa: E402

BATCH = 40
SECONDS_A_MINUTE = 60


def run_batch(machine: type[WorldMachine]) -> bool:
    """Run some examples; tell whether the oracle was satisfied."""
    options = settings(
        max_examples=BATCH,
        stateful_step_count=40,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate],
    )
    try:
        run_state_machine_as_test(machine, settings=options)
    except AssertionError:
        traceback.print_exc()
        return False
    return True


def main() -> int:
    """Run batches until the time is over and return the exit code."""
    arguments = docopt(__doc__)
    minutes = float(arguments["--minutes"])
    machine = BookingMachine if arguments["bookings"] else MapMachine
    logger.remove()
    end = time.monotonic() + minutes * SECONDS_A_MINUTE
    batches = 0
    violated = 0
    while time.monotonic() < end:
        batches += 1
        violated += not run_batch(machine)
    for name, number in sorted(counts.items()):
        print(f"{number:8} {name}")
    print(f"{batches:8} batches, {violated} with a violation")
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main())
