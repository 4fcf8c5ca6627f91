"""Layout of the experts in the groups of a service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExpertLayout:
    """
    Constraints on the placement of ``sets`` sets of ``experts`` experts each.

    A rank holds at most ``slots_per_rank`` experts of a set, and loads at most
    ``max_new_experts`` new ones in one change.
    """

    sets: int
    experts: int
    slots_per_rank: int
    max_new_experts: int
