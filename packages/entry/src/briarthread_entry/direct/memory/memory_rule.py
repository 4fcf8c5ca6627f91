"""
Rule that decides whether a request may hold more bytes now.

It handles many large bodies or responses at once, and callers and targets that read so
slowly that the bytes are held for seconds. Small requests have a reserve of their own
and do not wait behind large ones, so that they are served beside them.
"""

from dataclasses import dataclass

from briarthread_entry.direct.memory.memory_limits import (
    SMALL_REQUEST_BYTES,
    MemoryLimits,
)


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may hold the bytes."""


@dataclass(frozen=True, slots=True)
class MemoryFull:
    """The bytes don't fit until ``shortfall`` bytes have been released."""

    shortfall: int


@dataclass(frozen=True, slots=True)
class TooLarge:
    """The request would exceed the ``limit`` of a single request, in bytes."""

    limit: int


MemoryDecision = Granted | MemoryFull | TooLarge


def decide_memory(
    limits: MemoryLimits, held: int, of_request: int, size: int, queued: int = 0
) -> MemoryDecision:
    """
    Decide whether a request that holds ``of_request`` bytes may hold ``size`` more.

    ``held`` is the number of bytes of all requests. ``queued`` is the number of bytes
    for which large requests already wait; another large one does not overtake them.

    >>> limits = MemoryLimits(total=1000_000, large=900_000, request=250_000)
    >>> decide_memory(limits, held=700_000, of_request=0, size=200_000)
    Granted()
    >>> decide_memory(limits, held=800_000, of_request=0, size=200_000)
    MemoryFull(shortfall=100000)
    >>> decide_memory(limits, held=900_000, of_request=0, size=20_000)
    Granted()
    >>> decide_memory(limits, held=0, of_request=100_000, size=200_000)
    TooLarge(limit=250000)
    """
    needed = of_request + size
    if size == 0:
        return Granted()
    if needed > limits.request:
        return TooLarge(limits.request)
    if needed <= SMALL_REQUEST_BYTES:
        shortfall = held + size - limits.total
    else:
        shortfall = held + size - limits.large
        if queued:
            shortfall = max(shortfall, 0) + queued
    return MemoryFull(shortfall) if shortfall > 0 else Granted()
