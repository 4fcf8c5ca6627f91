"""Recorded decision."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """
    Record a decision with its Unix time in seconds, subject and reason.

    ``request`` is the id of the request that it concerns, or empty.
    """

    at: float
    decision: str
    subject: str
    reason: str
    request: str = ""
