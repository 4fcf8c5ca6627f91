"""Kinds of requests by whether they may be retried."""

from enum import StrEnum


class CallKind(StrEnum):
    """Kind of a route's requests: safe to retry, unsafe to retry, or a stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
