"""Steps that improve the placement of one layer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DropReplica:
    """Remove a replica from a rank; other ranks hold the expert as well."""

    expert: int
    rank: int


@dataclass(frozen=True, slots=True)
class MoveReplica:
    """Move an expert from its source rank into a free slot of another rank."""

    expert: int
    source: int
    rank: int


@dataclass(frozen=True, slots=True)
class AddReplica:
    """
    Add a replica of an expert to a rank; the source rank keeps its own.

    The replica goes into a free slot, or into the slot of ``replaced``, an expert
    that other ranks hold as well.
    """

    expert: int
    source: int
    rank: int
    replaced: int | None


@dataclass(frozen=True, slots=True)
class SwapReplicas:
    """Move an expert to another rank, which gives ``returned`` to the source rank."""

    expert: int
    source: int
    rank: int
    returned: int


PlacementStep = DropReplica | MoveReplica | AddReplica | SwapReplicas


def load_count(step: PlacementStep) -> int:
    """
    Return the number of experts that ranks have to load for a step.

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
