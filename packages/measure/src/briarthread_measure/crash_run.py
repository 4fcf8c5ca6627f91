"""
Play a request that crashes its targets, and print who got what, in virtual time.

Usage:
  crash_run [--stable=S]

Options:
  --stable=S  Seconds after the third crash from which on arrivals count [default: 3].

Each line gives the crashes, the arrivals of that request at targets from some seconds
after its third crash on, and of the requests beside it how many were served and asked.
"""

from docopt import docopt
from loguru import logger

from briarthread_standins.crash_scenario import CRASH_SCENARIOS
from briarthread_standins.crash_simulation import simulate_crashes


def main() -> None:
    """Play each day once and print a table."""
    logger.remove()
    stable = float(docopt(__doc__)["--stable"])
    print("| play | crashes | arrivals later | served beside it |")
    print("| --- | --- | --- | --- |")
    for name, day in CRASH_SCENARIOS.items():
        tally = simulate_crashes(day)
        later = tally.arrivals_after(3, stable)
        served = f"{tally.statuses[200]} of {sum(tally.statuses.values())}"
        print(f"| {name} | {len(tally.crashes)} | {later} | {served} |", flush=True)


if __name__ == "__main__":
    main()
