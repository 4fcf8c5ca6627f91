"""Bytes that an entry holds for one request."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_entry.direct.memory.memory_budget import MemoryBudget
from briarthread_entry.direct.memory.memory_rule import (
    Granted,
    MemoryDecision,
    MemoryFull,
    TooLarge,
)

MAX_WAIT_SECONDS = 2.0
"""Longest time for which the reading of one request's responses waits for memory.

A quarter of the time for which callers wait, so that the request can still fail in time
and its target is free for others.
"""
UNCOUNTED_EVENT_BYTES = 64 * 1024
"""Bytes of an incomplete event that are not counted, one chunk from the connection."""


class HeldBytes:
    """
    Reserve the bytes of a request's body and responses before they are read.

    ``size`` is the number of bytes held. Bytes stay reserved until the request ends,
    since the responses of failed attempts are kept that long.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.size = 0
        self.event_size = 0
        self.wait_left = MAX_WAIT_SECONDS
        self.has_waited = False

    @property
    def is_bounded(self) -> bool:
        """Return whether the budget has a limit."""
        return self.budget.limits is not None

    def reserve(self, size: int) -> MemoryDecision:
        """Reserve bytes if they fit now."""
        return self.budget.reserve(self, size)

    async def reserve_waiting(self, size: int, request: str) -> None:
        """
        Reserve bytes of a response; wait for them if necessary.

        Raise RequestError if they never fit or did not become free in time. The
        request has run, so its outcome is unknown.
        """
        match self.reserve(size):
            case Granted():
                return
            case TooLarge(limit=limit):
                reason = f"response exceeds the {limit} bytes that a request may hold"
                self._fail("response-too-large", reason, request)
            case MemoryFull():
                await self._wait(size, request)

    async def cover_event(self, size: int, request: str) -> None:
        """Reserve bytes for an incomplete event of that size."""
        needed = size - UNCOUNTED_EVENT_BYTES
        if needed > self.event_size:
            await self.reserve_waiting(needed - self.event_size, request)
            self.event_size = needed

    def note_unread(self, request: str) -> None:
        """Record that the caller did not read its response in time."""
        self.budget.note("response-unread", "the caller read too slowly", request)

    def release(self) -> None:
        """Release all bytes."""
        size, self.size = self.size, 0
        self.budget.release(size)

    async def _wait(self, size: int, request: str) -> None:
        if not self.has_waited:
            self.has_waited = True
            self.budget.note("response-waited", f"for {size} bytes", request)
        started = anyio.current_time()
        waiter = self.budget.enqueue(self, size)
        try:
            with anyio.move_on_after(self.wait_left):
                await waiter.granted.wait()
        finally:
            self.budget.leave(waiter)
        self.wait_left -= anyio.current_time() - started
        if not waiter.granted.is_set():
            reason = f"no memory for the response within {MAX_WAIT_SECONDS:g} s"
            self._fail("response-dropped", reason, request)

    def _fail(self, decision: str, reason: str, request: str) -> None:
        self.budget.note(decision, reason, request)
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, reason)


@contextmanager
def hold_bytes(budget: MemoryBudget) -> Iterator[HeldBytes]:
    """Return the bytes of a new request; they are released at the end."""
    held = HeldBytes(budget)
    try:
        yield held
    finally:
        held.release()
