"""Numbers of bytes that an entry may hold for its requests."""

from dataclasses import dataclass

MEBIBYTE = 1024 * 1024
HELD_FRACTION = 0.4
"""Fraction of the instance's memory for request bodies and buffered responses.

It leaves 120 of 200 MB, the smallest instance, for the interpreter, control and the
buffers of connections.
"""
MAX_REQUEST_FRACTION = 0.25
"""Fraction of the held bytes that a single request may take.

On the smallest instance it is 20 MiB, the largest body (4 MiB) and the largest buffered
response (16 MiB) together.
"""
SMALL_REQUEST_BYTES = 64 * 1024
"""Bytes up to which a request is small; most prompts and answers are below 16 KiB."""
SMALL_RESERVE_FRACTION = 0.1
"""Fraction of the held bytes that only small requests may take."""


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """
    Limit the bytes held by all requests, by the large ones and by a single one.

    >>> limits = MemoryLimits.of_memory(200)
    >>> limits.total // MEBIBYTE, limits.large // MEBIBYTE, limits.request // MEBIBYTE
    (80, 72, 20)
    """

    total: int
    large: int
    request: int

    @classmethod
    def of_memory(cls, memory_mb: float) -> "MemoryLimits":
        """Return the limits for an instance's memory in MB."""
        total = int(memory_mb * MEBIBYTE * HELD_FRACTION)
        return cls(
            total,
            int(total * (1 - SMALL_RESERVE_FRACTION)),
            int(total * MAX_REQUEST_FRACTION),
        )
