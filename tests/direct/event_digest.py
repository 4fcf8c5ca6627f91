"""
Print a digest of all decisions of a simulated load, for a test of their order.

Usage:
  event_digest.py NAME
"""

import hashlib
import sys
from dataclasses import replace

import anyio
from loguru import logger

from briarthread_common.core.event_log import EventLog
from briarthread_standins.segment_crash_scenario import (
    CULPRIT,
    FIRST_SEGMENT,
    SegmentCrashScenario,
)
from briarthread_standins.segment_crash_simulation import simulate_segment_crashes

GROUP = SegmentCrashScenario(seconds=30.0)
LOADS = {
    "silent ranks": replace(
        GROUP, silent=True, culprits=(f"{FIRST_SEGMENT},{CULPRIT}:90,*:70",)
    ),
    "most targets crash": replace(
        GROUP,
        lock_step=False,
        culprit_rate=0.0,
        other_crashes=8,
        down_seconds=2.0,
        seed=3,
    ),
}


def digest_of(name: str) -> str:
    """Return a digest of the decisions of all entries, in order, with their times."""
    digest = hashlib.sha256()
    add = EventLog.add

    def add_and_digest(log: EventLog, *fields: str) -> None:
        digest.update(f"{anyio.current_time():.6f} {fields}\n".encode())
        add(log, *fields)

    EventLog.add = add_and_digest
    simulate_segment_crashes(LOADS[name])
    return digest.hexdigest()


if __name__ == "__main__":
    logger.remove()
    print(digest_of(sys.argv[1]))
