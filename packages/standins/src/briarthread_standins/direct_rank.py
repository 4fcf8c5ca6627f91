"""One rank of the stand-in for a lock-step group."""

from dataclasses import dataclass, field

Layers = list[list[list[int]]]


@dataclass(eq=False)
class DirectRank:
    """
    The state of one rank: its expert map and the orders it has accepted.

    ``experts_by_set`` holds its experts by set, ``highest_version`` the highest map
    version that it has ever accepted for loading. Methods that carry out an order
    return whether it was accepted.
    """

    number: int
    experts_by_set: list[list[int]]
    map_version: int = 0
    highest_version: int = 0
    prepared: int | None = None
    prepared_layers: Layers = field(default_factory=list)
    copying: bool = False
    armed: tuple[int, int] | None = None
    held: int | None = None
    counts: list[int] = field(default_factory=list)
    pace: float = 1.0

    def prepare(self, version: int, layers: Layers, spare: int) -> int | None:
        """
        Start loading a map.

        Return the largest number of new experts in a set, or ``None`` if refused.
        """
        new_experts = [
            len(set(layer[self.number]) - set(experts))
            for layer, experts in zip(layers, self.experts_by_set, strict=True)
        ]
        if (
            version <= self.highest_version
            or self.armed
            or self.copying
            or max(new_experts) > spare
        ):
            return None
        self.highest_version = version
        self.prepared = None
        self.prepared_layers = layers
        self.copying = True
        return max(new_experts)

    def finish_copy(self, version: int) -> None:
        """Mark a map as loaded unless loading another one has started since."""
        if self.highest_version == version:
            self.copying = False
            self.prepared = version

    def arm(self, version: int, step: int, current: int) -> bool:
        """Schedule the switch to a loaded map at the start of a future pass."""
        if self.prepared != version or step <= current:
            return False
        self.armed = (version, step)
        return True

    def hold(self, step: int, current: int) -> bool:
        """Block the group from starting a future pass."""
        if step <= current or self.held is not None:
            return False
        self.held = step
        return True

    def go(self, step: int) -> None:
        """Release a pass that this rank holds."""
        if self.held == step:
            self.held = None

    def begin_pass(self, step: int) -> None:
        """Switch to the armed map if it is due at this pass."""
        if self.armed is not None and self.armed[1] == step:
            self.map_version = self.armed[0]
            self.experts_by_set = [layer[self.number] for layer in self.prepared_layers]
            self.armed = None

    def reset(self, experts_by_set: list[list[int]]) -> None:
        """Reset to the initial map and discard all orders."""
        self.experts_by_set = [list(experts) for experts in experts_by_set]
        self.map_version = 0
        self.prepared, self.armed, self.held = None, None, None
        self.copying = False
