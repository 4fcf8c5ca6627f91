"""What one rank of a lock-step group says of itself."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ArmedMap:
    """A map to which a rank switches as a pass begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class RankState:
    """
    Hold a rank's own word on itself.

    ``epoch`` counts the times that the group was formed. ``step`` is the last
    pass that was begun. ``prepared`` is the version whose experts are all
    loaded; ``held`` is the pass that the group does not begin until this
    rank is told to go. ``running`` counts the requests that the rank works on;
    ``slowdown`` is how many times longer than usual it takes for its work.
    """

    group: str
    epoch: int
    rank: int
    size: int
    serving: bool
    step: int
    map_version: int
    prepared: int | None = None
    armed: ArmedMap | None = None
    held: int | None = None
    running: int = 0
    slowdown: float = 1.0
