"""One data centre of the text."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DataCentre:
    """Describe a data centre; ``region`` groups those that are near."""

    name: str
    region: str
