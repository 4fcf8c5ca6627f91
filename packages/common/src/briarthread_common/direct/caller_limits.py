"""Limits on the requests of callers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on a caller's request: sizes in bytes, time-outs in seconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0
