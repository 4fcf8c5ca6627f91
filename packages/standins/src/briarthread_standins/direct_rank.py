"""One rank of the stand-in for a lock-step group."""

from dataclasses import dataclass, field

Layers = list[list[list[int]]]


@dataclass(eq=False)
class DirectRank:
    """
    Hold one rank's map, and what it was ordered to do.

    ``experts_by_set`` is its experts by set; ``had`` the highest version it has had.
    Orders tell whether they were taken.
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
        """Begin to load a map; return the most experts new in a set, if taken."""
        new = [
            len(set(layer[self.number]) - set(experts))
            for layer, experts in zip(layers, self.experts_by_set, strict=True)
        ]
        if (
            version <= self.highest_version
            or self.armed
            or self.copying
            or max(new) > spare
        ):
            return None
        self.highest_version = version
        self.prepared = None
        self.prepared_layers = layers
        self.copying = True
        return max(new)

    def finish_copy(self, version: int) -> None:
        """Have loaded a map, unless another was begun since."""
        if self.highest_version == version:
            self.copying = False
            self.prepared = version

    def arm(self, version: int, step: int, current: int) -> bool:
        """Be ready to switch to a loaded map as a coming pass begins."""
        if self.prepared != version or step <= current:
            return False
        self.armed = (version, step)
        return True

    def hold(self, step: int, current: int) -> bool:
        """Keep the group from beginning a coming pass."""
        if step <= current or self.held is not None:
            return False
        self.held = step
        return True

    def go(self, step: int) -> None:
        """Let the group begin a pass that this rank holds."""
        if self.held == step:
            self.held = None

    def begin_pass(self, step: int) -> None:
        """Switch to the map that the rank is armed for, if this is its pass."""
        if self.armed is not None and self.armed[1] == step:
            self.map_version = self.armed[0]
            self.experts_by_set = [layer[self.number] for layer in self.prepared_layers]
            self.armed = None

    def reset(self, experts_by_set: list[list[int]]) -> None:
        """Start over with the first map and nothing ordered."""
        self.experts_by_set = [list(experts) for experts in experts_by_set]
        self.map_version = 0
        self.prepared, self.armed, self.held = None, None, None
        self.copying = False
