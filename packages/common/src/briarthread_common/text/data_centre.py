"""Data centre in a services text."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DataCentre:
    """Describe a data centre; ``region`` groups nearby data centres."""

    name: str
    region: str
