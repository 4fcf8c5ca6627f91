"""A new map of a group, and the one that it changes."""

from dataclasses import dataclass

from briarthread_common.direct.rank_client import Layers
from briarthread_common.messages.expert_map import NO_MAP, even_map
from briarthread_common.messages.rank_messages import DealtMap, RankExperts


@dataclass(frozen=True, slots=True)
class MapChange:
    """
    Hold a map's version and layers, and those of the map in force.

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

    def round_robin_base(self) -> DealtMap | None:
        """Describe the map in force if it deals experts out to ranks in turn."""
        ranks = len(self.base_layers[0])
        experts = len({expert for rank in self.base_layers[0] for expert in rank})
        found = DealtMap(len(self.base_layers), experts, ranks)
        return found if round_robin_layers(found) == self.base_layers else None

    def differences(self) -> list[RankExperts]:
        """Return what each rank holds otherwise than before."""
        return [
            RankExperts(number, rank, experts)
            for number, (layer, before) in enumerate(
                zip(self.layers, self.base_layers, strict=True)
            )
            for rank, experts in enumerate(layer)
            if experts != before[rank]
        ]


def round_robin_layers(dealt: DealtMap) -> Layers:
    """
    Return the layers of a map that deals experts out to ranks in turn.

    >>> round_robin_layers(DealtMap(sets=1, experts=5, ranks=2))
    [[[0, 2, 4], [1, 3]]]
    """
    return even_map(NO_MAP, dealt.sets, dealt.experts, dealt.ranks).layers


def apply_differences(base: Layers, differences: list[RankExperts]) -> Layers:
    """Return the layers of a map from those that it changes."""
    layers = [[list(experts) for experts in layer] for layer in base]
    for changed in differences:
        layers[changed.number][changed.rank] = list(changed.experts)
    return layers
