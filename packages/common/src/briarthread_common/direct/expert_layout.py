"""What is known beforehand of the experts of a service's groups."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExpertLayout:
    """
    Describe where experts may lie: ``sets`` sets of ``experts`` each.

    A rank holds at most ``slots_per_rank`` experts of a set, and takes on at most
    ``max_new_experts`` that are new to it in one change.
    """

    sets: int
    experts: int
    slots_per_rank: int
    max_new_experts: int
