"""Detection of times in which the machine was busy, for tracing a violation."""

import time
from collections.abc import Callable, Iterable
from pathlib import Path

import anyio

INTERVAL_SECONDS = 0.1
MAX_DELAY_SECONDS = 0.1
"""Time without a processor, of a process that could run, that makes a span busy."""
NANOSECONDS = 1e9


class BusyMonitor:
    """
    Record the spans in which a process waited for a processor.

    The kernel counts that time for each process, so that a delay of the machine can be
    told from one of the process itself. ``process_ids`` returns the watched processes.
    """

    def __init__(self, process_ids: Callable[[], Iterable[int]]) -> None:
        self.process_ids = process_ids
        self.spans: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Watch until cancelled."""
        before = self._run_delays()
        while True:
            began_at = time.monotonic()
            await anyio.sleep(INTERVAL_SECONDS)
            delays = self._run_delays()
            late = time.monotonic() - began_at - INTERVAL_SECONDS
            waited = [delays[pid] - before[pid] for pid in delays if pid in before]
            longest = max([late, *waited])
            if longest > MAX_DELAY_SECONDS:
                self.spans.append((began_at - longest, time.monotonic()))
            before = delays

    def was_busy(self, first: float, last: float) -> bool:
        """Return whether the machine was busy at some time of a span."""
        return any(begin <= last and first <= end for begin, end in self.spans)

    def _run_delays(self) -> dict[int, float]:
        """Return the seconds that each process has waited for a processor."""
        return {
            pid: delay
            for pid in self.process_ids()
            if (delay := _run_delay(pid)) is not None
        }


def _run_delay(pid: int) -> float | None:
    try:
        fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    except OSError:
        return None
    return int(fields[1]) / NANOSECONDS
