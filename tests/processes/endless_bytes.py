"""Callers of a real entry before sound targets and one whose bytes never end."""

import re
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpcore
from soak.soak_deployment import SoakDeployment

from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance
from briarthread_measure.process_usage import read_usage
from briarthread_standins.direct_config import DIARY, MODEL
from processes.endless_target import EndlessKind

SOUND_TARGETS = {MODEL: 2, DIARY: 2}
ALLOWANCE = RetryAllowance(0.5, 200.0, 10.0)
MEMORY_MB = 300
"""Memory of the instance that the entry is told."""
LIST_SECONDS = 1.5
CALL_PAUSE_SECONDS = 0.2
LAST_SECONDS = 9.0
"""Time in seconds after the last call within which all have their answers."""
PATHS = {"/list/1": "GET", "/book/1": "POST", "/chat/1": "POST"}


@dataclass(slots=True)
class CallResult:
    """A call as its caller saw it."""

    path: str
    status: int
    whole: bool
    seconds: float


@dataclass(slots=True)
class EndlessResult:
    """
    What was seen in one run.

    ``cpu_seconds`` and ``peak_bytes`` are the entry's, ``closed`` has for each closed
    connection of the endless target the bytes that it sent and the seconds.
    """

    calls: list[CallResult] = field(default_factory=list)
    cpu_seconds: float = 0.0
    peak_bytes: int = 0
    requests: int = 0
    closed: list[tuple[int, float]] = field(default_factory=list)

    def served_share(self, path: str) -> float:
        """Return the share of the calls of a path that were answered with 200."""
        calls = [call for call in self.calls if call.path == path]
        return sum(c.status == 200 and c.whole for c in calls) / max(len(calls), 1)

    def describe(self) -> str:
        """Return the figures in one line."""
        shares = " ".join(f"{p[1:5]} {self.served_share(p):.2f}" for p in PATHS)
        failed = Counter(c.status for c in self.calls if c.status != 200)
        slowest = max((c.seconds for c in self.calls), default=0.0)
        most = max((sent for sent, _ in self.closed), default=0) / 1024
        longest = max((seconds for _, seconds in self.closed), default=0.0)
        return (
            f"served {shares}, failed {dict(failed)}, slowest {slowest:.2f} s, "
            f"cpu {self.cpu_seconds:.2f} s, peak {self.peak_bytes / 1e6:.0f} MB, "
            f"tries {self.requests}, closed {len(self.closed)}, "
            f"most {most:.0f} KiB, longest {longest:.2f} s"
        )


async def measure(
    folder: Path, kind: EndlessKind | None, pace: str, seconds: float
) -> EndlessResult:
    """
    Call an entry for some seconds; ``kind`` ``None`` has sound targets only.

    The endless target is listed once for the model and once for the plain service.
    """
    result = EndlessResult()
    async with anyio.create_task_group() as tasks:
        deployment = SoakDeployment(
            folder, tasks, SOUND_TARGETS, 1, ALLOWANCE, memory_mb=MEMORY_MB
        )
        logs: list[Path] = []
        try:
            if kind is not None:
                logs = [
                    deployment.add_endless_target(f"endless-{s}", s, kind, pace).log
                    for s in SOUND_TARGETS
                ]
            await deployment.start()
            await anyio.sleep(LIST_SECONDS)
            pid = deployment.entries["entry-0"].handle.pid
            before = read_usage(pid).cpu
            await _send_calls(deployment.callers_addresses["entry-0"], seconds, result)
            result.cpu_seconds = read_usage(pid).cpu - before
            result.peak_bytes = _peak_bytes(pid)
        finally:
            deployment.stop()
            tasks.cancel_scope.cancel()
    for log in logs:
        _read_log(log, result)
    return result


async def _send_calls(address: str, seconds: float, result: EndlessResult) -> None:
    async with anyio.create_task_group() as callers:
        with anyio.move_on_after(seconds):
            number = 0
            while True:
                for path in PATHS:
                    number += 1
                    callers.start_soon(_call, address, path, number, result)
                await anyio.sleep(CALL_PAUSE_SECONDS)


async def _call(address: str, path: str, number: int, result: EndlessResult) -> None:
    headers = {
        "host": "salon.example",
        "x-request-id": f"request-{number}",
        "x-credential": "key-1",
        "x-deadline-ms": "6000",
    }
    if path.startswith("/chat/"):
        headers["x-token-count"] = "9,9"
    content = b"%d" % number if PATHS[path] == "POST" else None
    began, status, whole = time.monotonic(), 0, False
    with anyio.move_on_after(LAST_SECONDS):
        try:
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(
                    PATHS[path],
                    f"http://{address}{path}",
                    headers=headers,
                    content=content,
                ) as response,
            ):
                status = response.status
                async for _ in response.aiter_stream():
                    pass
                whole = True
        except (httpcore.NetworkError, httpcore.RemoteProtocolError):
            pass
    seconds = time.monotonic() - began
    result.calls.append(CallResult(path, status, whole, seconds))


def _peak_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return 0 if found is None else int(found[1]) * 1024


def _read_log(log: Path, result: EndlessResult) -> None:
    for line in log.read_text().splitlines():
        words = line.split()
        if words[:1] == ["request"]:
            result.requests += 1
        elif words[:1] == ["closed"]:
            result.closed.append((int(words[2]), float(words[3])))
