"""Linear regression."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import fmean


@dataclass(frozen=True, slots=True)
class LineFit:
    """
    A fitted line and its largest residual.

    ``residual`` is the largest absolute distance of a point from the line, as a
    fraction of the largest measured value.
    """

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> LineFit:
    """
    Fit a line by ordinary least squares.

    >>> fit_line([1, 2, 3, 4], [3, 5, 7, 9])
    LineFit(slope=2.0, intercept=1.0, residual=0.0)
    """
    mean_size, mean_value = fmean(sizes), fmean(values)
    size_variation = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((s - mean_size) * (v - mean_value) for s, v in pairs) / size_variation
    intercept = mean_value - slope * mean_size
    largest_residual = max(
        abs(value - intercept - slope * size) for size, value in pairs
    )
    largest_value = max(abs(value) for value in values)
    return LineFit(
        slope, intercept, largest_residual / largest_value if largest_value else 0.0
    )
