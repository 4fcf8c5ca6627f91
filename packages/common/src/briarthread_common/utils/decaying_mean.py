"""Exponentially weighted moving average."""

from dataclasses import dataclass


@dataclass(slots=True)
class DecayingMean:
    """
    Exponentially weighted moving average; ``weight`` is that of a new sample.

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
        """Add a sample; the first one sets the value."""
        if self.samples == 0:
            self.value = sample
        else:
            self.value += self.weight * (sample - self.value)
        self.samples += 1
