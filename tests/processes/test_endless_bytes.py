"""Bytes that are no answer, without end, from real sockets to a real entry."""

from pathlib import Path

import anyio
import pytest

from briarthread_entry.direct.responses.read_response import MAX_RESPONSE_BYTES
from processes.endless_bytes import MEMORY_MB, PATHS, measure
from processes.endless_target import EndlessKind

CALL_SECONDS = 4.0
READ_BYTES = 64 * 1024
"""Bytes that are read from a connection at a time."""
ROUTE_TIMEOUT_SECONDS = 4.0
FINAL_ANSWER_SECONDS = 0.5
"""Time after a route's timeout within which callers have a final answer."""
MAX_MEMORY_SHARE = 0.5
"""Share of the instance's memory that an entry may use before such targets."""
KERNEL_BUFFERS = [Path(f"/proc/sys/net/ipv4/tcp_{kind}mem") for kind in "rw"]
"""Files whose last number is the largest buffer of a socket, in bytes."""
ANSWERING = {EndlessKind.SECOND_ANSWERS}
"""Kinds whose answers are whole, so that their targets are as good as others."""
MAX_TRIES = 20
"""Two failures eject a target for 1, 2 and 4 s; five calls a second are under way when
the first one fails, 2 s after it began at the latest."""
MAX_CPU_SHARE = 0.5
"""Share of a core, half of an instance, that the entry may use with all callers."""


def max_closed_bytes() -> int:
    """Return the largest response that is read, with what the kernel holds beside."""
    buffers = (int(path.read_text().split()[-1]) for path in KERNEL_BUFFERS)
    return MAX_RESPONSE_BYTES + READ_BYTES + sum(buffers)


KINDS = [
    (EndlessKind.NO_NEWLINE, "fast"),
    (EndlessKind.INTERIM, "fast"),
    (EndlessKind.SMALL_CHUNKS, "fast"),
    (EndlessKind.CHUNKS, "fast"),
    (EndlessKind.TRAILERS, "fast"),
    (EndlessKind.SECOND_ANSWERS, "fast"),
    (EndlessKind.ONE_EVENT, "fast"),
    (EndlessKind.EMPTY_EVENTS, "fast"),
    (EndlessKind.REFUSAL, "fast"),
    (EndlessKind.ONE_FIELD, "trickle"),
    (EndlessKind.INTERIM, "trickle"),
    (EndlessKind.ONE_EVENT, "trickle"),
]


@pytest.mark.parametrize(("kind", "pace"), KINDS)
def test_bytes_without_end_take_neither_memory_nor_time_from_others(
    tmp_path: Path, kind: EndlessKind, pace: str
) -> None:
    """Guards against one target whose bytes are no answer and stop all callers."""
    result = anyio.run(measure, tmp_path, kind, pace, CALL_SECONDS)
    figures = result.describe()
    longest = ROUTE_TIMEOUT_SECONDS + FINAL_ANSWER_SECONDS
    assert all(call.seconds <= longest for call in result.calls), figures
    assert all(call.status for call in result.calls), figures
    assert result.served_share("/list/1") == 1.0, figures
    assert result.peak_bytes < MAX_MEMORY_SHARE * MEMORY_MB * 1e6, figures
    assert all(sent <= max_closed_bytes() for sent, _ in result.closed), figures
    assert result.requests <= MAX_TRIES or kind in ANSWERING, figures
    seconds = CALL_SECONDS + max(call.seconds for call in result.calls)
    assert result.cpu_seconds < MAX_CPU_SHARE * seconds, figures
    assert {call.path for call in result.calls} == set(PATHS)
