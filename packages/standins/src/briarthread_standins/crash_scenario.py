"""A load beside a request that crashes its targets."""

from dataclasses import dataclass, replace

from briarthread_standins.direct_config import DIARY, MODEL


@dataclass(frozen=True, slots=True)
class CrashScenario:
    """
    Describe a load; times are in seconds.

    ``rate`` ordinary requests a second come to ``entries`` in three data centres, a
    share ``alike`` of them the same in all they say. Every ``every`` seconds one comes
    that crashes the target that begins it, which is back after ``down``; ``repeats``
    times its caller asks again. ``kind`` is that of the route. ``kills`` targets, drawn
    anew each second, crash by themselves.
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
}
"""Days on which one request crashes its targets, again and again."""
