"""The log never holds a process up, and says what it left out."""

import io
import threading

from briarthread_common.core.log_sink import LogSink

WAIT_SECONDS = 5.0


class StuckStream(io.StringIO):
    """A stream that takes nothing before it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()
        self.reached = threading.Event()

    def write(self, text: str) -> int:
        """Wait for the release, then write."""
        self.reached.set()
        self.released.wait(WAIT_SECONDS)
        return super().write(text)


def test_lines_are_written_in_order_and_all_at_the_end() -> None:
    stream = io.StringIO()
    sink = LogSink(stream, clock=lambda: 0.0)
    for number in range(100):
        sink.write(f"line {number}\n")
    sink.stop()
    assert stream.getvalue().splitlines() == [f"line {n}" for n in range(100)]


def test_stream_that_nobody_reads_loses_lines_and_not_time() -> None:
    stream = StuckStream()
    sink = LogSink(stream, clock=lambda: 0.0, max_queued=10)
    sink.write("first\n")
    assert stream.reached.wait(WAIT_SECONDS)
    for number in range(50):
        sink.write(f"line {number}\n")
    assert sink.dropped == 40
    stream.released.set()
    while sink.waiting.qsize():
        sink.thread.join(0.001)
    sink.write("after\n")
    sink.stop()
    written = stream.getvalue().splitlines()
    assert written[:3] == ["first", "line 0", "line 1"]
    assert written[-2:] == ["logs: 40 lines were left out before this", "after"]


def test_rush_of_lines_is_cut_to_so_many_a_second() -> None:
    now = [10.0]
    stream = io.StringIO()
    sink = LogSink(stream, clock=lambda: now[0], max_per_second=20)
    for number in range(70):
        sink.write(f"line {number}\n")
    now[0] = 11.0
    sink.write("next second\n")
    sink.stop()
    written = stream.getvalue().splitlines()
    assert len(written) == 22
    assert written[-2:] == ["logs: 50 lines were left out before this", "next second"]
