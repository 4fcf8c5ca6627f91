"""
Compare ways to keep the limits that targets name, in virtual time.

Usage:
  limit_run [--entries=LIST] [--limits=LIST] [--loads=LIST] [--seconds=S]

Options:
  --entries=LIST  Numbers of entries [default: 9,54].
  --limits=LIST   Requests a second that targets name [default: 1,2.5,6].
  --loads=LIST    Loads by name, all where none is given [default: ].
  --seconds=S     Length of a play, s [default: 20].

A cell gives the most arrivals at a limited target in any four seconds from three
seconds after its first word on, the part of its limit that it got, and the part of
all callers who were served. The first line says how many are allowed.
"""

from collections.abc import Callable
from dataclasses import replace

from docopt import docopt
from loguru import logger

from briarthread_measure.limit_policies import POLICIES
from briarthread_standins.direct_config import DIARY
from briarthread_standins.limit_day import LimitDay, LimitStep
from briarthread_standins.limit_tally import allowed
from briarthread_standins.play_limits import play_limits

NAMED_AT, STABLE_SECONDS = 1.0, 3.0
TARGETS = 4
"""Targets of which one, or where it is said all, name a limit."""
PRESSURE = 2.0
"""Load on the limited targets, as a part of their limits, if it came evenly."""

Build = Callable[[int, str, float], LimitDay]


def one_limited(entries: int, limit: str, seconds: float) -> LimitDay:
    """Return a day on which one rank of some names a limit."""
    rate = TARGETS * PRESSURE * float(limit)
    steps = (LimitStep(NAMED_AT, limit),)
    return LimitDay(entries, TARGETS, rate=rate, seconds=seconds, steps=steps)


def restarted(entries: int, limit: str, seconds: float) -> LimitDay:
    """Return such a day on which an entry starts again."""
    day = one_limited(entries, limit, seconds)
    return replace(day, restarted=True, trouble_at=8.0)


def cut_off(entries: int, limit: str, seconds: float) -> LimitDay:
    """Return such a day on which an entry is cut off for some seconds."""
    return replace(one_limited(entries, limit, seconds), cut_off=True, trouble_at=8.0)


def all_limited(entries: int, limit: str, seconds: float) -> LimitDay:
    """Return a day on which all targets of a plain service name a limit."""
    day = one_limited(entries, limit, seconds)
    steps = (LimitStep(NAMED_AT, limit, TARGETS),)
    return replace(day, service=DIARY, steps=steps)


LOADS: dict[str, Build] = {
    "one of four limited": one_limited,
    "an entry restarts": restarted,
    "an entry cut off": cut_off,
    "all limited": all_limited,
}


def cell(policy: str, day: LimitDay, limit: float) -> str:
    """Play a day in one way and return what its target got."""
    tally = play_limits(day, POLICIES[policy])
    since = NAMED_AT + STABLE_SECONDS
    got = tally.a_second(0, since, day.seconds) / limit
    served = tally.statuses[200] / max(sum(tally.statuses.values()), 1)
    return f"{tally.most(0, since)}; {got:.2f}; {served:.2f}"


def main() -> None:
    """Print a table for each number of entries."""
    logger.remove()
    arguments = docopt(__doc__)
    limits = arguments["--limits"].split(",")
    loads = [name for name in arguments["--loads"].split(",") if name] or list(LOADS)
    seconds = float(arguments["--seconds"])
    for entries in (int(number) for number in arguments["--entries"].split(",")):
        print(f"\n| {entries} entries |", " | ".join(f"{one}/s" for one in limits), "|")
        print("| --- |", " | ".join("---" for _ in limits), "|")
        print("| allowed |", " | ".join(f"{allowed(float(x)):g}" for x in limits), "|")
        for load in loads:
            for policy in POLICIES:
                days = [(LOADS[load](entries, one, seconds), one) for one in limits]
                cells = [cell(policy, day, float(one)) for day, one in days]
                print(f"| {load}: {policy} |", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
