"""The steps by which a placement of one layer is improved."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Drop:
    """The rank gives up its replica of an expert that others hold as well."""

    expert: int
    rank: int


@dataclass(frozen=True, slots=True)
class Move:
    """An expert goes from its source into a free place of another rank."""

    expert: int
    source: int
    rank: int


@dataclass(frozen=True, slots=True)
class Copy:
    """
    A rank gets a replica of an expert that its source keeps.

    It goes into a free place, or into that of ``replaced``, which other ranks
    hold as well.
    """

    expert: int
    source: int
    rank: int
    replaced: int | None


@dataclass(frozen=True, slots=True)
class Exchange:
    """An expert goes to another rank and ``returned`` comes back for it."""

    expert: int
    source: int
    rank: int
    returned: int


Step = Drop | Move | Copy | Exchange


def loads_of(step: Step) -> int:
    """
    Return how many experts some rank has to load for a step.

    >>> loads_of(Drop(3, 0)), loads_of(Exchange(3, 0, 1, 4))
    (0, 2)
    """
    match step:
        case Drop():
            return 0
        case Move() | Copy():
            return 1
        case Exchange():
            return 2
