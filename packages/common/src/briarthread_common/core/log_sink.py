"""Where log lines go: to a stream, never holding the process up."""

import queue
import threading
import time
from collections.abc import Callable
from typing import TextIO

MOST_WAITING = 2000
"""Lines that wait for a reader that is slow; some 400 KB."""
LINES_EACH_SECOND = 500
"""Lines taken in a second. A loaded entry writes some forty, so that only what
repeats without end is left out; ten such instances fill a disk of 1 GB in an
hour at most."""
STOP_SECONDS = 0.5
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
        most_waiting: int = MOST_WAITING,
        each_second: int = LINES_EACH_SECOND,
    ) -> None:
        self.stream = stream
        self.clock = clock
        self.each_second = each_second
        self.waiting: queue.Queue[str | None] = queue.Queue(most_waiting)
        self.second = 0
        self.taken = 0
        self.left_out = 0
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def write(self, line: str) -> None:
        """Take a line, or leave it out."""
        second = int(self.clock())
        if second != self.second:
            self.second, self.taken = second, 0
        if self.taken >= self.each_second:
            self.left_out += 1
            return
        self.taken += 1
        if self.left_out:
            line = f"logs: {self.left_out} lines were left out before this\n{line}"
        try:
            self.waiting.put_nowait(line)
            self.left_out = 0
        except queue.Full:
            self.left_out += 1

    def stop(self) -> None:
        """Write what waits, as far as that is read in time."""
        try:
            self.waiting.put(None, timeout=STOP_SECONDS)
        except queue.Full:
            return
        self.thread.join(STOP_SECONDS)

    def _run(self) -> None:
        while (line := self.waiting.get()) is not None:
            self.stream.write(line)
            if self.waiting.empty():
                self.stream.flush()
        self.stream.flush()
