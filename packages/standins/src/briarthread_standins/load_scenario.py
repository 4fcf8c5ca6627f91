"""Description of a load on a service's groups."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadScenario:
    """
    Describe a load; times are in seconds.

    ``rate`` requests arrive per second, ``burst_factor`` times as many in the first
    ``burst_seconds``. The first group is broken for ``outage_seconds`` from
    ``outage_at`` on. ``ranks`` is the number of ranks of all ``groups``. A pass takes
    ``fixed_seconds`` plus ``request_cost`` for each running stream of its group, and a
    stream takes ``events_per_stream`` passes. Passes of the last group take
    ``slow_factor`` times as long. ``membership_reported`` says whether agents report
    which rank is in which group.
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
