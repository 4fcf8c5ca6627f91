"""Client account of the direct routes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DirectAccount:
    """A client account; its priority, if set, overrides the route's."""

    name: str
    priority: int | None = None
