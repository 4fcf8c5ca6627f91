"""Description of a load on a service's groups."""

from dataclasses import dataclass

from briarthread_standins.priority_load import PriorityLoad


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
    which rank is in which group. Callers count a response as in time if the first event
    comes within ``slo`` and no gap between two events is longer than ``gap_slo``.

    ``priorities`` replaces ``rate`` and the burst by a load for each priority, whose
    requests come from accounts with the weights ``accounts``. There are ``entries``
    entries; if there are more than three, entries and ranks are in three data centres
    in turn.
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
    slo: float = 0.4
    gap_slo: float = 0.12
    seed: int = 7
    priorities: tuple[PriorityLoad, ...] = ()
    accounts: tuple[float, ...] = (1.0,)
    entries: int = 3
