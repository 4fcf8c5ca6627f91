"""A load that callers put on a service's groups."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadScenario:
    """
    Describe a load; times are in seconds.

    ``rate`` requests arrive a second, in the first ``burst_seconds`` ``burst``
    times as many. The first group is away for ``outage_seconds`` from
    ``outage_at`` on. ``groups`` of them have ``ranks`` together; a pass takes
    ``fixed`` and ``each`` for every running stream of its group, of which each
    takes ``events``. ``slow`` is how many times longer the last group's passes are;
    ``told`` says whether agents tell which rank is in which group.
    """

    rate: float
    seconds: float = 12.0
    burst_factor: float = 1.0
    burst_seconds: float = 2.0
    outage_at: float = 4.0
    outage_seconds: float = 0.0
    ranks: int = 6
    fixed_seconds: float = 0.029
    request_cost: float = 0.0021
    events_per_stream: int = 20
    groups: int = 1
    slow_factor: float = 1.0
    membership_reported: bool = True
    seed: int = 7
