"""How often each expert is used of late."""

from dataclasses import dataclass, field

HALF_LIFE_SECONDS = 600.0
"""Seconds after which an observation counts half, where demand drifts slowly."""


@dataclass(slots=True)
class Popularity:
    """
    Keep decayed token counts of each expert in each layer.

    >>> popularity = Popularity(layers=1, experts=2)
    >>> popularity.add(0.0, [[10, 30]])
    >>> popularity.add(HALF_LIFE_SECONDS, [[10, 0]])
    >>> popularity.counts
    [[15.0, 15.0]]
    """

    layers: int
    experts: int
    half_life: float = HALF_LIFE_SECONDS
    counts: list[list[float]] = field(init=False)
    updated: float = 0.0

    def __post_init__(self) -> None:
        self.counts = [[0.0] * self.experts for _ in range(self.layers)]

    def add(self, now: float, counts: list[list[int]]) -> None:
        """Take in the tokens that went to each expert since the last time."""
        decay = 0.5 ** ((now - self.updated) / self.half_life)
        self.updated = now
        self.counts = [
            [old * decay + new for old, new in zip(olds, news, strict=True)]
            for olds, news in zip(self.counts, counts, strict=True)
        ]
