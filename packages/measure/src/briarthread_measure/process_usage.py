"""What a process has used, read from the kernel."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
UTIME, STIME, RSS = 11, 12, 21
LOOPBACK_IN = 0


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold processor seconds and resident bytes."""

    cpu: float
    rss: int


def read_usage(pid: int) -> Usage:
    """Return what a process has used up to now."""
    raw = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = raw.rpartition(")")[2].split()
    ticks = int(fields[UTIME]) + int(fields[STIME])
    return Usage(ticks / TICKS, int(fields[RSS]) * PAGE)


def loopback_bytes() -> int:
    """Return the bytes that the loopback interface has carried, headers too."""
    for line in Path("/proc/net/dev").read_text(encoding="ascii").splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[LOOPBACK_IN])
    raise OSError("no loopback interface")
