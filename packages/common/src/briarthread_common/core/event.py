"""A decision worth explaining."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """
    Record one decision: when (Unix seconds), what, about what, and why.

    ``request`` is the id of the request it concerns, or empty.
    """

    at: float
    decision: str
    subject: str
    reason: str
    request: str = ""
