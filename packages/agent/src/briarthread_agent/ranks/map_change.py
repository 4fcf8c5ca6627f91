"""A change from a group's active map to a new one."""

from dataclasses import dataclass

from briarthread_common.direct.rank_client import Layers
from briarthread_common.messages.expert_map import NO_MAP_VERSION, round_robin_map
from briarthread_common.messages.rank_messages import RankExperts, RoundRobinMap


@dataclass(frozen=True, slots=True)
class MapChange:
    """
    Hold the version and layers of a new map and of the active map, its base.

    >>> change = MapChange(2, [[[0], [1, 0]]], 1, [[[0], [1]]])
    >>> change.differences()
    [RankExperts(number=0, rank=1, experts=[1, 0])]
    >>> apply_differences(change.base_layers, change.differences())
    [[[0], [1, 0]]]
    """

    version: int
    layers: Layers
    base: int
    base_layers: Layers

    def round_robin_base(self) -> RoundRobinMap | None:
        """Describe the base map if it assigns experts to ranks round-robin."""
        ranks = len(self.base_layers[0])
        experts = len({expert for rank in self.base_layers[0] for expert in rank})
        candidate = RoundRobinMap(len(self.base_layers), experts, ranks)
        return candidate if round_robin_layers(candidate) == self.base_layers else None

    def differences(self) -> list[RankExperts]:
        """Return the ranks whose experts differ from the base, with their experts."""
        return [
            RankExperts(number, rank, experts)
            for number, (layer, before) in enumerate(
                zip(self.layers, self.base_layers, strict=True)
            )
            for rank, experts in enumerate(layer)
            if experts != before[rank]
        ]


def round_robin_layers(dealt: RoundRobinMap) -> Layers:
    """
    Return the layers of a map that assigns experts to ranks round-robin.

    >>> round_robin_layers(RoundRobinMap(sets=1, experts=5, ranks=2))
    [[[0, 2, 4], [1, 3]]]
    """
    return round_robin_map(
        NO_MAP_VERSION, dealt.sets, dealt.experts, dealt.ranks
    ).layers


def apply_differences(base: Layers, differences: list[RankExperts]) -> Layers:
    """Return the layers of a base map with differences applied to them."""
    layers = [[list(experts) for experts in layer] for layer in base]
    for difference in differences:
        layers[difference.number][difference.rank] = list(difference.experts)
    return layers
