"""Description of a load with a request that crashes its targets."""

from dataclasses import dataclass, replace

from briarthread_standins.direct_config import DIARY, MODEL


@dataclass(frozen=True, slots=True)
class CrashScenario:
    """
    Describe a load; times are in seconds.

    ``rate`` ordinary requests per second arrive at ``entries`` in three data centres;
    ``identical_share`` of them are identical. Every ``crash_interval`` seconds a
    request arrives that crashes the target that starts it; the target restarts after
    ``down_seconds``, as another one for the list if it was ``silent`` meanwhile instead
    of ending its connections. Its caller retries it ``retries`` times, and waits for
    Retry-After if it ``honours_retry_after``. ``kind`` is that of the route. Each
    second ``crashes_per_second`` targets, chosen at random, crash by themselves.
    """

    entries: int = 3
    targets: int = 12
    service: str = MODEL
    kind: str = "stream"
    rate: float = 20.0
    identical_share: float = 0.0
    crash_interval: float = 2.0
    retries: int = 1
    honours_retry_after: bool = True
    down_seconds: float = 3.0
    silent: bool = False
    crashes_per_second: int = 0
    seconds: float = 30.0
    seed: int = 1


PLAIN_SERVICE = CrashScenario(service=DIARY, targets=6, kind="safe")
CRASH_SCENARIOS = {
    "plain, safe": PLAIN_SERVICE,
    "plain, unsafe": replace(PLAIN_SERVICE, kind="unsafe"),
    "plain, at once again": replace(
        PLAIN_SERVICE, honours_retry_after=False, retries=4
    ),
    "ranks": CrashScenario(crash_interval=4.0, rate=8.0, seconds=40.0),
    "plain, 24 entries": replace(PLAIN_SERVICE, entries=24),
    "plain, silent, safe": replace(PLAIN_SERVICE, silent=True),
    "plain, silent, unsafe": replace(PLAIN_SERVICE, silent=True, kind="unsafe"),
    "plain, silent, 24 entries": replace(
        PLAIN_SERVICE, silent=True, kind="unsafe", entries=24, targets=12
    ),
}
"""Scenarios in which one request crashes its targets repeatedly."""
