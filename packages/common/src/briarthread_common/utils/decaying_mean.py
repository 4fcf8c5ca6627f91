"""An exponentially weighted mean."""

from dataclasses import dataclass


@dataclass(slots=True)
class DecayingMean:
    """
    Keep a mean in which each new sample has the same weight.

    >>> mean = DecayingMean(weight=0.5)
    >>> mean.add(4.0)
    >>> mean.add(2.0)
    >>> mean.value
    3.0
    """

    weight: float = 0.1
    value: float = 0.0
    samples: int = 0

    def add(self, sample: float) -> None:
        """Take one sample in; the first one sets the mean."""
        if self.samples == 0:
            self.value = sample
        else:
            self.value += self.weight * (sample - self.value)
        self.samples += 1
