"""Placement of a group's experts on its ranks."""

from dataclasses import dataclass

FIRST_MAP_VERSION = 1
"""Version with which a group starts if no rank knows another one."""
NO_MAP_VERSION = 0


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """
    Placement of a group's experts on its ranks.

    ``layers[layer][rank]`` lists the experts that the rank holds in that
    layer; an expert may be replicated on several ranks, which share its tokens.
    """

    version: int
    layers: list[list[list[int]]]


def round_robin_map(version: int, layers: int, experts: int, ranks: int) -> ExpertMap:
    """
    Return the map that assigns experts to ranks round-robin.

    >>> round_robin_map(1, 1, 4, 2).layers
    [[[0, 2], [1, 3]]]
    """
    layer = [list(range(rank, experts, ranks)) for rank in range(ranks)]
    return ExpertMap(version, [layer for _ in range(layers)])
