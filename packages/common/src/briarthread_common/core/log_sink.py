"""Log sink that writes to a stream without blocking the process."""

import queue
import threading
import time
from collections.abc import Callable
from typing import TextIO

MAX_QUEUED_LINES = 2000
"""Number of lines buffered for a slow reader, about 400 KB."""
MAX_LINE_CHARACTERS = 8000
"""Longest line that is written, enough for most tracebacks."""
MAX_LINES_PER_SECOND = 500
"""Lines accepted per second. A loaded entry writes about 40, so that only lines
that repeat endlessly are dropped; ten instances at this limit take at least an hour
to fill a disk of 1 GB."""
STOP_TIMEOUT_SECONDS = 0.5
"""Longest wait for the remaining lines to be written when the sink stops."""


class LogSink:
    """
    Write lines from a background thread and drop excess lines.

    A pipe that nobody reads blocks its writer, so lines are queued for a thread.
    Lines are dropped while the queue is full or more than ``max_per_second`` arrive
    in one second. The next accepted line is preceded by the number of dropped ones.
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
        self.pending: queue.Queue[str | None] = queue.Queue(max_queued)
        self.second = 0
        self.accepted = 0
        self.dropped = 0
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def write(self, line: str) -> None:
        """Queue a line, or drop it if the queue or the rate limit is exhausted."""
        second = int(self.clock())
        if second != self.second:
            self.second, self.accepted = second, 0
        if self.accepted >= self.max_per_second:
            self.dropped += 1
            return
        self.accepted += 1
        if len(line) > MAX_LINE_CHARACTERS:
            line = f"{line[:MAX_LINE_CHARACTERS]}...\n"
        if self.dropped:
            line = f"logs: {self.dropped} lines were left out before this\n{line}"
        try:
            self.pending.put_nowait(line)
            self.dropped = 0
        except queue.Full:
            self.dropped += 1

    def stop(self) -> None:
        """Write the queued lines, as far as the reader takes them in time."""
        try:
            self.pending.put(None, timeout=STOP_TIMEOUT_SECONDS)
        except queue.Full:
            return
        self.thread.join(STOP_TIMEOUT_SECONDS)

    def _run(self) -> None:
        while (line := self.pending.get()) is not None:
            self.stream.write(line)
            if self.pending.empty():
                self.stream.flush()
        self.stream.flush()
