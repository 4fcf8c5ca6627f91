"""Bytes without end where an agent or a health check expects a short answer."""

import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest
from builders import build_attempt
from soak.soak_deployment import free_address

from briarthread_agent.attempts.response_buffer import ResponseBuffer
from briarthread_agent.attempts.target_client import TargetClient
from briarthread_agent.limits.target_backoff import TargetBackoff
from briarthread_common.core.exceptions import RankError
from briarthread_common.core.metrics import Metrics
from briarthread_common.http.http_channel import HttpChannel
from briarthread_measure.process_usage import read_usage
from briarthread_platform.rank_engine import RESPONSE_TIMEOUT_SECONDS, RankEngine
from processes.endless_target import EndlessKind

ANSWER_BYTES = 100_000
CALL_SECONDS = 1.0
"""Time within which a fast flood is given up."""
MAX_GROWTH_BYTES = 32 * 1024 * 1024
TESTS = Path(__file__).parents[1]
FLOODS = [
    EndlessKind.NO_NEWLINE,
    EndlessKind.INTERIM,
    EndlessKind.SMALL_CHUNKS,
    EndlessKind.CHUNKS,
    EndlessKind.TRAILERS,
    EndlessKind.NO_LENGTH,
]


def run_with_target(
    kind: EndlessKind, pace: str, scenario: Callable[[str], Awaitable[None]]
) -> None:
    """Run a scenario against a target in a process of its own."""
    address = free_address()
    command = [sys.executable, "-m", "processes.endless_target", kind, pace, address]
    process = subprocess.Popen(command, cwd=TESTS, stdout=subprocess.DEVNULL)

    async def play() -> None:
        host, _, port = address.rpartition(":")
        with anyio.fail_after(10):
            while True:
                try:
                    async with await anyio.connect_tcp(host, int(port)):
                        break
                except OSError:
                    await anyio.sleep(0.05)
        await scenario(address)

    try:
        anyio.run(play)
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("pace", ["fast", "trickle"])
@pytest.mark.parametrize("kind", FLOODS)
def test_report_without_end_fails_in_the_time_of_a_report(
    kind: EndlessKind, pace: str
) -> None:
    """Guards against an agent that reads its engine's report for ever."""

    async def scenario(address: str) -> None:
        engine = RankEngine(HttpChannel(), address)
        before = read_usage(_own_id()).rss
        began = time.monotonic()
        with pytest.raises(RankError):
            await engine.state()
        assert time.monotonic() - began < RESPONSE_TIMEOUT_SECONDS + 0.3
        assert read_usage(_own_id()).rss - before < MAX_GROWTH_BYTES

    run_with_target(kind, pace, scenario)


@pytest.mark.parametrize("kind", FLOODS)
def test_answer_without_end_fails_at_the_agent(kind: EndlessKind) -> None:
    """Guards against an agent that buffers its target's response for ever."""

    async def scenario(address: str) -> None:
        client = TargetClient(
            HttpChannel(), address, TargetBackoff(Metrics()), lambda: None
        )
        buffer = ResponseBuffer(ANSWER_BYTES)
        with anyio.fail_after(CALL_SECONDS):
            await client.run(build_attempt(), (), b"x", buffer)
        assert buffer.error is not None
        assert not buffer.finished

    run_with_target(kind, "fast", scenario)


def _own_id() -> int:
    return int(Path("/proc/self").resolve().name)
