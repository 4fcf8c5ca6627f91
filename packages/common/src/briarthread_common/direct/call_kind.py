"""What may be repeated of a route's requests."""

from enum import StrEnum


class CallKind(StrEnum):
    """Tell how often a request may run and what its answer is."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
