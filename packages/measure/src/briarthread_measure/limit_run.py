"""
Compare policies that enforce the limits announced by targets, in virtual time.

Usage:
  limit_run [--entries=LIST] [--limits=LIST] [--loads=LIST] [--seconds=S]

Options:
  --entries=LIST  Numbers of entries [default: 9,54].
  --limits=LIST   Requests a second that targets name [default: 1,2.5,6].
  --loads=LIST    Loads by name, all where none is given [default: ].
  --seconds=S     Length of a play, s [default: 20].

A cell gives the most arrivals at a limited target in any four seconds, from three
seconds after it first announced its limit, the share of its limit that it received, and
the share of callers that were served. The first row gives the allowed arrivals.
"""

from collections.abc import Callable
from dataclasses import replace

from docopt import docopt
from loguru import logger

from briarthread_measure.limit_policies import POLICIES
from briarthread_standins.direct_config import DIARY
from briarthread_standins.limit_results import max_allowed_arrivals
from briarthread_standins.limit_scenario import LimitScenario, LimitStep
from briarthread_standins.limit_simulation import simulate_limits

ANNOUNCED_AT_SECONDS, STABLE_SECONDS = 1.0, 3.0
TARGETS = 4
"""Targets of the service; one announces a limit, or all in the load "all limited"."""
LOAD_FACTOR = 2.0
"""Load on each target relative to its limit, if requests were spread evenly."""

BuildScenario = Callable[[int, str, float], LimitScenario]


def one_limited(entries: int, limit: str, seconds: float) -> LimitScenario:
    """Return a scenario in which one of several ranks announces a limit."""
    rate = TARGETS * LOAD_FACTOR * float(limit)
    steps = (LimitStep(ANNOUNCED_AT_SECONDS, limit),)
    return LimitScenario(entries, TARGETS, rate=rate, seconds=seconds, steps=steps)


def entry_restarted(entries: int, limit: str, seconds: float) -> LimitScenario:
    """Return the scenario of ``one_limited`` with an entry that restarts."""
    scenario = one_limited(entries, limit, seconds)
    return replace(scenario, restarted=True, fault_at=8.0)


def partitioned(entries: int, limit: str, seconds: float) -> LimitScenario:
    """Return the scenario of ``one_limited`` with a partitioned entry."""
    return replace(one_limited(entries, limit, seconds), cut_off=True, fault_at=8.0)


def all_limited(entries: int, limit: str, seconds: float) -> LimitScenario:
    """Return a scenario in which all targets of a plain service announce a limit."""
    scenario = one_limited(entries, limit, seconds)
    steps = (LimitStep(ANNOUNCED_AT_SECONDS, limit, TARGETS),)
    return replace(scenario, service=DIARY, steps=steps)


LOADS: dict[str, BuildScenario] = {
    "one of four limited": one_limited,
    "an entry restarts": entry_restarted,
    "an entry cut off": partitioned,
    "all limited": all_limited,
}


def format_cell(policy: str, scenario: LimitScenario, limit: float) -> str:
    """Simulate a scenario under a policy and format what its target received."""
    results = simulate_limits(scenario, POLICIES[policy])
    since = ANNOUNCED_AT_SECONDS + STABLE_SECONDS
    limit_share = results.arrivals_per_second(0, since, scenario.seconds) / limit
    served = results.statuses[200] / max(sum(results.statuses.values()), 1)
    return f"{results.max_arrivals(0, since)}; {limit_share:.2f}; {served:.2f}"


def main() -> None:
    """Print a table for each number of entries."""
    logger.remove()
    arguments = docopt(__doc__)
    limits = arguments["--limits"].split(",")
    loads = [name for name in arguments["--loads"].split(",") if name] or list(LOADS)
    seconds = float(arguments["--seconds"])
    for entries in (int(number) for number in arguments["--entries"].split(",")):
        print(
            f"\n| {entries} entries |",
            " | ".join(f"{limit}/s" for limit in limits),
            "|",
        )
        print("| --- |", " | ".join("---" for _ in limits), "|")
        print(
            "| allowed |",
            " | ".join(f"{max_allowed_arrivals(float(limit)):g}" for limit in limits),
            "|",
        )
        for load in loads:
            for policy in POLICIES:
                scenarios = [
                    (LOADS[load](entries, limit, seconds), limit) for limit in limits
                ]
                cells = [
                    format_cell(policy, scenario, float(limit))
                    for scenario, limit in scenarios
                ]
                print(f"| {load}: {policy} |", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
