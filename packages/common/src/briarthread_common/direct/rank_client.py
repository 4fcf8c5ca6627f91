"""The interface to the engine of one rank."""

from typing import Protocol

from briarthread_common.direct.rank_state import RankState

Layers = list[list[list[int]]]
"""The experts by set and rank."""


class RankClient(Protocol):
    """
    Read and order one rank's engine.

    Reading raises RankError when there is no proper answer. Orders tell
    whether the engine took them; one without an answer may be carried out
    later all the same, so only what the rank says of itself counts.
    """

    async def state(self) -> RankState:
        """Return the rank's own word on itself."""
        ...

    async def counts(self) -> list[int]:
        """Return how often each expert was chosen, set by set."""
        ...

    async def experts(self) -> list[list[int]]:
        """Return the experts that the rank holds now, by set."""
        ...

    async def prepare(self, epoch: int, version: int, layers: Layers) -> bool:
        """Have the rank load what it lacks for a map."""
        ...

    async def arm(self, epoch: int, version: int, step: int) -> bool:
        """Have the rank switch to a prepared map as a pass begins."""
        ...

    async def hold(self, epoch: int, step: int) -> bool:
        """Keep the group from beginning a pass."""
        ...

    async def go(self, epoch: int, step: int) -> bool:
        """Let the group begin the pass that was held."""
        ...
