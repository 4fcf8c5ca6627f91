"""A queued attempt."""

from dataclasses import dataclass, field

import anyio

from briarthread_common.core.exceptions import RequestError


@dataclass(slots=True, eq=False)
class Waiter:
    """Hold an attempt that waits for a slot; ``tag`` orders it within its priority."""

    account: str
    weight: float
    priority: int
    tag: float
    granted: bool = False
    refusal: RequestError | None = None
    event: anyio.Event = field(default_factory=anyio.Event)

    @property
    def sort_key(self) -> tuple[int, float]:
        """Return the sort key of the queue: high priority first, then low tag."""
        return (-self.priority, self.tag)
