"""Where each expert of a group lies."""

from dataclasses import dataclass

FIRST_MAP_VERSION = 1
"""The version that a group starts with when no rank knows another."""
NO_MAP_VERSION = 0


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """
    Place the experts of a group on its ranks.

    ``layers[layer][rank]`` lists the experts that the rank holds in that
    layer; an expert may lie on several ranks, which share its tokens.
    """

    version: int
    layers: list[list[list[int]]]


def round_robin_map(version: int, layers: int, experts: int, ranks: int) -> ExpertMap:
    """
    Return the map that deals experts out to ranks in turn.

    >>> round_robin_map(1, 1, 4, 2).layers
    [[[0, 2], [1, 3]]]
    """
    row = [list(range(rank, experts, ranks)) for rank in range(ranks)]
    return ExpertMap(version, [row for _ in range(layers)])
