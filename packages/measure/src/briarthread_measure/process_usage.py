"""Resource usage of processes and of the loopback interface, read from /proc."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
UTIME, STIME, RSS = 11, 12, 21
"""Indexes of the fields after the command name in /proc/PID/stat."""
RECEIVED_BYTES_COLUMN = 0


@dataclass(frozen=True, slots=True)
class Usage:
    """CPU time in seconds and resident memory in bytes."""

    cpu: float
    rss: int


def read_usage(pid: int) -> Usage:
    """Return the CPU time and the resident memory of a process."""
    raw = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = raw.rpartition(")")[2].split()
    ticks = int(fields[UTIME]) + int(fields[STIME])
    return Usage(ticks / TICKS_PER_SECOND, int(fields[RSS]) * PAGE_BYTES)


def loopback_bytes() -> int:
    """Return the bytes received on the loopback interface, with all headers."""
    for line in Path("/proc/net/dev").read_text(encoding="ascii").splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[RECEIVED_BYTES_COLUMN])
    raise OSError("no loopback interface")
