"""What is known beforehand of the experts of a service's groups."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExpertFigures:
    """
    Describe where experts may lie: ``sets`` sets of ``experts`` each.

    A rank holds at most ``places`` experts of a set, and takes on at most
    ``spare`` that are new to it in one change.
    """

    sets: int
    experts: int
    places: int
    spare: int
