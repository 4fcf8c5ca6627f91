"""
Simulate a request that crashes its targets, in virtual time, and print the results.

Usage:
  crash_run [--stable=S]

Options:
  --stable=S  Seconds after the third crash from which on arrivals count [default: 3].

Each row gives the number of crashes, the arrivals of that request at targets from
``--stable`` seconds after its third crash on, and how many of the other requests were
served.
"""

from docopt import docopt
from loguru import logger

from briarthread_standins.crash_scenario import CRASH_SCENARIOS
from briarthread_standins.crash_simulation import simulate_crashes


def main() -> None:
    """Run each scenario once and print a table."""
    logger.remove()
    stable_seconds = float(docopt(__doc__)["--stable"])
    print("| play | crashes | arrivals later | served beside it |")
    print("| --- | --- | --- | --- |")
    for name, scenario in CRASH_SCENARIOS.items():
        results = simulate_crashes(scenario)
        late_arrivals = results.arrivals_after(3, stable_seconds)
        served = f"{results.statuses[200]} of {sum(results.statuses.values())}"
        print(
            f"| {name} | {len(results.crashes)} | {late_arrivals} | {served} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
