"""A load that callers put on a group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadDay:
    """
    Describe a load; times are in seconds.

    ``rate`` requests arrive a second, in the first ``burst_seconds`` ``burst``
    times as many. The group is away for ``outage_seconds`` from ``outage_at``
    on. It has ``ranks``; a pass takes ``fixed`` and ``each`` for every running
    stream, of which each takes ``events``.
    """

    rate: float
    seconds: float = 12.0
    burst: float = 1.0
    burst_seconds: float = 2.0
    outage_at: float = 4.0
    outage_seconds: float = 0.0
    ranks: int = 6
    fixed: float = 0.029
    each: float = 0.0021
    events: int = 20
    seed: int = 7
