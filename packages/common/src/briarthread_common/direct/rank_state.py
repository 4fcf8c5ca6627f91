"""State that a rank of a lock-step group reports."""

from dataclasses import dataclass

from briarthread_common.core.decoding import Integer


@dataclass(frozen=True, slots=True)
class ArmedMap:
    """A map to which a rank switches at the start of pass ``step``."""

    version: Integer
    step: Integer


@dataclass(frozen=True, slots=True)
class RankState:
    """
    State of a rank as reported by itself.

    ``epoch`` counts the formations of the group. ``step`` is the last pass that was
    started. ``prepared`` is the map version whose experts are all loaded. ``held`` is
    the pass that the group does not start until this rank is told to go. ``running``
    is the number of requests in progress on the rank. ``slowdown`` is the factor by
    which the rank takes longer than usual for its work.
    """

    group: str
    epoch: Integer
    rank: Integer
    size: Integer
    serving: bool
    step: Integer
    map_version: Integer
    prepared: Integer | None = None
    armed: ArmedMap | None = None
    held: Integer | None = None
    running: Integer = 0
    slowdown: float = 1.0
