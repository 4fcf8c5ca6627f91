"""Budget of the bytes that an entry holds for its requests."""

from dataclasses import dataclass, field
from typing import Protocol

import anyio
from loguru import logger

from briarthread_common.core.event_log import EventLog
from briarthread_common.core.metrics import Metrics
from briarthread_entry.direct.memory.memory_limits import MEBIBYTE, MemoryLimits
from briarthread_entry.direct.memory.memory_rule import (
    Granted,
    MemoryDecision,
    MemoryFull,
    decide_memory,
)
from briarthread_entry.direct.memory.release_meter import ReleaseMeter

FULL_SECONDS = 1.0
"""Minimum time for which the budget is reported as full, so that the log is bounded."""
FREE_FRACTION = 0.8
"""Fraction of the limit below which a full budget is reported as free again."""


class Holder(Protocol):
    """A request as the budget sees it; ``size`` is the number of bytes it holds."""

    size: int


@dataclass(eq=False, slots=True)
class MemoryWaiter:
    """A request that waits until it may hold ``size`` more bytes."""

    held: Holder
    size: int
    granted: anyio.Event = field(default_factory=anyio.Event)


class MemoryBudget:
    """
    Count the bytes that requests hold and limit them to a share of the memory.

    Waiting requests are served in the order of arrival, except that small ones don't
    wait behind large ones. With a memory of 0 nothing is counted or limited.
    """

    def __init__(self, memory_mb: float, metrics: Metrics, events: EventLog) -> None:
        self.limits = MemoryLimits.of_memory(memory_mb) if memory_mb else None
        self.metrics = metrics
        self.events = events
        self.held = 0
        self.waiters: list[MemoryWaiter] = []
        self.releases = ReleaseMeter()
        self.full = False
        self.full_until = 0.0
        metrics.held_bytes.set_function(lambda: self.held)

    def reserve(self, held: Holder, size: int) -> MemoryDecision:
        """Reserve bytes for a request if they fit now."""
        if self.limits is None:
            return Granted()
        queued = sum(waiter.size for waiter in self.waiters)
        decision = decide_memory(self.limits, self.held, held.size, size, queued)
        match decision:
            case Granted():
                self.grant(held, size)
            case MemoryFull():
                self._note_full()
        return decision

    def release(self, size: int) -> None:
        """Release bytes and serve the requests that wait for them."""
        if not size:
            return
        self.held -= size
        self.releases.note(size, anyio.current_time())
        self._serve_waiters()
        self._note_released()

    def enqueue(self, held: Holder, size: int) -> MemoryWaiter:
        """Let a request wait for bytes."""
        waiter = MemoryWaiter(held, size)
        self.waiters.append(waiter)
        return waiter

    def leave(self, waiter: MemoryWaiter) -> None:
        """Remove a request that no longer waits."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            self._serve_waiters()

    def opens_in(self, shortfall: int) -> float:
        """Return the expected seconds until that many bytes are released."""
        return self.releases.seconds_until(shortfall, anyio.current_time())

    def count(self, decision: str) -> None:
        """Count a decision."""
        self.metrics.memory_decisions.labels(decision).inc()

    def note(self, decision: str, reason: str, request: str) -> None:
        """Count a decision and record it as an event of a request."""
        self.count(decision)
        self.events.add(decision, "memory", reason, request)

    def _serve_waiters(self) -> None:
        """Grant what fits; a request does not overtake larger ones before it."""
        queued = 0
        for waiter in list(self.waiters):
            decision = decide_memory(
                self.limits, self.held, waiter.held.size, waiter.size, queued
            )
            if isinstance(decision, Granted):
                self.grant(waiter.held, waiter.size)
                self.waiters.remove(waiter)
                waiter.granted.set()
            else:
                queued += waiter.size

    def grant(self, held: Holder, size: int) -> None:
        """Count bytes for a request."""
        self.held += size
        held.size += size

    def _note_full(self) -> None:
        self.full_until = anyio.current_time() + FULL_SECONDS
        if not self.full:
            self.full = True
            logger.warning("memory: full, {}", self._describe())

    def _note_released(self) -> None:
        is_free = self.held <= self.limits.large * FREE_FRACTION
        if self.full and is_free and anyio.current_time() >= self.full_until:
            self.full = False
            logger.info("memory: free again, {}", self._describe())

    def _describe(self) -> str:
        held, total = self.held / MEBIBYTE, self.limits.total / MEBIBYTE
        return f"{held:.1f} of {total:.1f} MB held by requests"
