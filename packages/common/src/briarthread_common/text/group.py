"""Lock-step group in a services text."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Group:
    """
    Describe a group of targets that run in lock-step with one expert map.

    ``targets`` lists its instances; each has ``ranks_each`` ranks, and each
    rank has ``slots`` expert slots per layer.
    """

    name: str
    service: str
    data_centre: str
    targets: tuple[str, ...]
    ranks_each: int
    layers: int
    experts: int
    slots: int
    expert_bytes: int

    @property
    def ranks(self) -> int:
        """Return the number of ranks of all targets."""
        return len(self.targets) * self.ranks_each
