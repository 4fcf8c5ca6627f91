"""Where log lines go: to a stream, never holding the process up."""

import queue
import threading
import time
from collections.abc import Callable
from typing import TextIO

MAX_QUEUED_LINES = 2000
"""Lines that wait for a reader that is slow; some 400 KB."""
MAX_LINES_PER_SECOND = 500
"""Lines taken in a second. A loaded entry writes some forty, so that only what
repeats without end is left out; ten such instances fill a disk of 1 GB in an
hour at most."""
STOP_TIMEOUT_SECONDS = 0.5
"""Longest wait at the end for lines that are still to be written."""


class LogSink:
    """
    Write lines from a thread of its own, and leave out what is too much.

    A pipe that nobody reads blocks its writer. So lines are handed to a thread,
    and when too many wait, or come within one second, the rest is left out. How
    many were left out is said in a line as soon as there is room again.
    """

    def __init__(
        self,
        stream: TextIO,
        clock: Callable[[], float] = time.monotonic,
        max_queued: int = MAX_QUEUED_LINES,
        max_per_second: int = MAX_LINES_PER_SECOND,
    ) -> None:
        self.stream = stream
        self.clock = clock
        self.max_per_second = max_per_second
        self.waiting: queue.Queue[str | None] = queue.Queue(max_queued)
        self.second = 0
        self.taken = 0
        self.dropped = 0
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def write(self, line: str) -> None:
        """Take a line, or leave it out."""
        second = int(self.clock())
        if second != self.second:
            self.second, self.taken = second, 0
        if self.taken >= self.max_per_second:
            self.dropped += 1
            return
        self.taken += 1
        if self.dropped:
            line = f"logs: {self.dropped} lines were left out before this\n{line}"
        try:
            self.waiting.put_nowait(line)
            self.dropped = 0
        except queue.Full:
            self.dropped += 1

    def stop(self) -> None:
        """Write what waits, as far as that is read in time."""
        try:
            self.waiting.put(None, timeout=STOP_TIMEOUT_SECONDS)
        except queue.Full:
            return
        self.thread.join(STOP_TIMEOUT_SECONDS)

    def _run(self) -> None:
        while (line := self.waiting.get()) is not None:
            self.stream.write(line)
            if self.waiting.empty():
                self.stream.flush()
        self.stream.flush()
