"""
Run the state machines with new random seeds for some minutes, outside CI.

Usage:
  run_long [--minutes=N] (bookings | maps)

Options:
  --minutes=N  How long to run [default: 10].

Prints the counts of steps, faults and responses. Exits with 1 if the oracle found a
violation, whose steps are printed.
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

BATCH_EXAMPLES = 40
SECONDS_PER_MINUTE = 60


def run_batch(machine: type[WorldMachine]) -> bool:
    """Run some examples and return whether no violation was found."""
    options = settings(
        max_examples=BATCH_EXAMPLES,
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
    """Run batches until the time has elapsed and return the exit code."""
    arguments = docopt(__doc__)
    minutes = float(arguments["--minutes"])
    machine = BookingMachine if arguments["bookings"] else MapMachine
    logger.remove()
    end = time.monotonic() + minutes * SECONDS_PER_MINUTE
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
