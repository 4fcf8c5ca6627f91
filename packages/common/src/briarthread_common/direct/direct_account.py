"""A client account of the direct routes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DirectAccount:
    """Name an account; its priority, if any, goes before the route's."""

    name: str
    priority: int | None = None
