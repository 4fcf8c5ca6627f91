"""The steps by which a placement of one layer is improved."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DropReplica:
    """The rank gives up its replica of an expert that others hold as well."""

    expert: int
    rank: int


@dataclass(frozen=True, slots=True)
class MoveReplica:
    """An expert goes from its source into a free place of another rank."""

    expert: int
    source: int
    rank: int


@dataclass(frozen=True, slots=True)
class AddReplica:
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
class SwapReplicas:
    """An expert goes to another rank and ``returned`` comes back for it."""

    expert: int
    source: int
    rank: int
    returned: int


PlacementStep = DropReplica | MoveReplica | AddReplica | SwapReplicas


def load_count(step: PlacementStep) -> int:
    """
    Return how many experts some rank has to load for a step.

    >>> load_count(DropReplica(3, 0)), load_count(SwapReplicas(3, 0, 1, 4))
    (0, 2)
    """
    match step:
        case DropReplica():
            return 0
        case MoveReplica() | AddReplica():
            return 1
        case SwapReplicas():
            return 2
