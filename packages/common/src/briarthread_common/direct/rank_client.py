"""Interface to the engine of one rank."""

from typing import Protocol

from briarthread_common.direct.rank_state import RankState

Layers = list[list[list[int]]]
"""Experts by set and rank."""


class RankClient(Protocol):
    """
    Query and control the engine of one rank.

    Queries raise RankError if there is no valid answer. Orders return whether the
    engine accepted them. An order without an answer may still be carried out
    later, so only the state that the rank reports is authoritative.
    """

    async def state(self, new_connection: bool = False) -> RankState:
        """
        Return the state that the rank reports.

        The engine is asked over a connection that carried no call before if
        ``new_connection`` is true; no answer to an earlier call can arrive there.
        """
        ...

    async def counts(self) -> list[int]:
        """Return how often each expert was chosen, set by set."""
        ...

    async def experts(self, version: int) -> list[list[int]]:
        """
        Return the experts that the rank holds under a map, by set.

        Raise RankError if another map is active.
        """
        ...

    async def prepare(self, epoch: int, version: int, layers: Layers) -> bool:
        """Load the experts that the rank lacks for a map."""
        ...

    async def arm(self, epoch: int, version: int, step: int) -> bool:
        """Schedule the switch to a prepared map at the start of a pass."""
        ...

    async def hold(self, epoch: int, step: int) -> bool:
        """Hold the group before the start of a pass."""
        ...

    async def go(self, epoch: int, step: int) -> bool:
        """Let the group start the pass before which it is held."""
        ...
