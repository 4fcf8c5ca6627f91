"""One attempt that waits for a slot."""

from dataclasses import dataclass, field

import anyio

from briarthread_common.core.exceptions import RequestError


@dataclass(slots=True, eq=False)
class Waiter:
    """Hold a place in the queue; ``tag`` orders it within its priority."""

    account: str
    weight: float
    priority: int
    tag: float
    granted: bool = False
    refusal: RequestError | None = None
    event: anyio.Event = field(default_factory=anyio.Event)

    @property
    def sort_key(self) -> tuple[int, float]:
        """Return what the queue sorts by: high priority first, then the tag."""
        return (-self.priority, self.tag)
