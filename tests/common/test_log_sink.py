"""The log sink never blocks the process and reports how many lines it dropped."""

import io
import threading

from briarthread_common.core.log_sink import LogSink

WAIT_SECONDS = 5.0


class BlockedStream(io.StringIO):
    """A stream whose writes block until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()
        self.reached = threading.Event()

    def write(self, text: str) -> int:
        """Block until the release, then write."""
        self.reached.set()
        self.released.wait(WAIT_SECONDS)
        return super().write(text)


def test_all_lines_are_written_in_order_on_stop() -> None:
    stream = io.StringIO()
    sink = LogSink(stream, clock=lambda: 0.0)
    for number in range(100):
        sink.write(f"line {number}\n")
    sink.stop()
    assert stream.getvalue().splitlines() == [f"line {n}" for n in range(100)]


def test_blocked_stream_drops_lines_without_blocking_the_writer() -> None:
    stream = BlockedStream()
    sink = LogSink(stream, clock=lambda: 0.0, max_queued=10)
    sink.write("first\n")
    assert stream.reached.wait(WAIT_SECONDS)
    for number in range(50):
        sink.write(f"line {number}\n")
    assert sink.dropped == 40
    stream.released.set()
    while sink.pending.qsize():
        sink.thread.join(0.001)
    sink.write("after\n")
    sink.stop()
    written = stream.getvalue().splitlines()
    assert written[:3] == ["first", "line 0", "line 1"]
    assert written[-2:] == ["logs: 40 lines were left out before this", "after"]


def test_lines_above_the_rate_limit_are_dropped() -> None:
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


def test_long_line_is_cut() -> None:
    """Guards against lines of a size that clients choose."""
    stream = io.StringIO()
    sink = LogSink(stream, clock=lambda: 0.0)
    sink.write("a" * 100_000 + "\n")
    sink.write("next\n")
    sink.stop()
    first, second = stream.getvalue().splitlines()
    assert len(first) < 10_000 and first.endswith("...") and second == "next"
