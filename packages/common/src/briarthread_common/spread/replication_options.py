"""Settings of the feed replication."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """Settings of the feed replication; times are in seconds."""

    name: str
    data_centre: str
    seeds: tuple[str, ...]
    exchange_interval: float
    poll_interval: float
