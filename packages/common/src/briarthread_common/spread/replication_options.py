"""The settings of the spread."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """Hold the settings of the spread; times are in seconds."""

    name: str
    data_centre: str
    seeds: tuple[str, ...]
    exchange_interval: float
    poll_interval: float
