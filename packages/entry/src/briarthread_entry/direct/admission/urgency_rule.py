"""
Rule that decides on requests to a group whose routes differ in priority.

It handles bursts of less urgent requests that would fill the group, at dozens of
entries that know of each other's starts only after the next report. Each entry holds
less urgent requests back while the free capacity is what the more urgent ones need
until the reports arrive. A share of all requests is never held back, so that a long
overload starves nobody.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from briarthread_common.core.error_kind import ErrorKind
from briarthread_entry.direct.admission.admission_rule import (
    HONOURED_FRACTION,
    MIN_RETRY_AFTER_SECONDS,
    NEW_CALLER_RESERVE,
    Decision,
    GroupCapacity,
    Refuse,
    Start,
    WaitForCapacity,
    decide_unavailable,
)
from briarthread_entry.direct.admission.unreserved_shares import UNRESERVED_SHARE

UNKNOWN_STARTS_SECONDS = 0.25
"""Time in which an entry does not know what the others started: the interval of the
reports and one pass."""
OVERLOAD_STARTS_SECONDS = 0.75
"""The same while the demand exceeds what the group completes: the age of the oldest
sums over blocks of entries.

In an overload, unreserved requests take what is kept, so that more of it costs hardly
any capacity.
"""
MAX_RESERVED_FRACTION = 0.3
"""Largest fraction of the capacity that is kept for more urgent requests."""
SMOOTHING_SECONDS = 0.5
"""Time over which the free capacity is distributed to the requests that compete for it.

It is about the age of the reports. Without it, all entries start everything while the
last reports show free capacity, and requests then queue at the ranks and are late.
"""
RETRY_SPREAD = 0.5
"""Part of the honoured time over which refused requests return. Less would bring the
requests of a burst back as another burst."""


@dataclass(frozen=True, slots=True)
class UrgencyLoad:
    """
    Describe the load that a request competes with, in requests per second.

    ``more_urgent`` is the demand of the more urgent ranks, ``own`` that of the rank of
    the request and ``less_urgent`` that of the others. ``mean_seconds`` is the mean
    duration of a request, ``None`` if none was observed.
    """

    more_urgent: float = 0.0
    own: float = 0.0
    less_urgent: float = 0.0
    mean_seconds: float | None = None

    def completions(self, running: int) -> float:
        """Return how many of the running requests end per second, 0.0 if unknown."""
        return running / self.mean_seconds if self.mean_seconds else 0.0

    @property
    def ahead(self) -> float:
        """Return the demand that starts before the reserved requests of this rank."""
        return self.more_urgent + UNRESERVED_SHARE * (self.own + self.less_urgent)


@dataclass(frozen=True, slots=True)
class UrgencyClaim:
    """
    Describe what a request may claim.

    ``unreserved`` says that it is compared with the plain limit. ``position``, from 0
    to 1, is its place among the requests of its rank that compete for the same
    capacity; it is drawn once, so that waiting does not draw again.
    """

    unreserved: bool
    position: float
    is_client_retry: bool = False


def build_urgency_load(
    demand: Mapping[int, float], rank: int, mean_seconds: float | None
) -> UrgencyLoad:
    """
    Return the load that a request of some rank competes with.

    >>> build_urgency_load({0: 10.0, 1: 6.0, 2: 30.0}, 1, 2.0)
    UrgencyLoad(more_urgent=10.0, own=6.0, less_urgent=30.0, mean_seconds=2.0)
    """
    more_urgent = sum(rate for other, rate in demand.items() if other < rank)
    less_urgent = sum(rate for other, rate in demand.items() if other > rank)
    return UrgencyLoad(more_urgent, demand.get(rank, 0.0), less_urgent, mean_seconds)


def decide_by_urgency(
    capacity: GroupCapacity,
    load: UrgencyLoad,
    claim: UrgencyClaim,
    wait_left: float,
    time_left: float,
    jitter: float,
) -> Decision:
    """
    Decide whether a request starts, waits or is refused now, as decide_admission does.

    >>> load = UrgencyLoad(more_urgent=24.0, own=36.0, mean_seconds=2.0)
    >>> claim = UrgencyClaim(unreserved=False, position=0.5)
    >>> decide_by_urgency(GroupCapacity(True, 20, 60), load, claim, 0.2, 8.0, 0.5)
    Start()
    >>> full = GroupCapacity(True, 59, 60)
    >>> decide_by_urgency(full, load, claim, 0.2, 8.0, 0.5).reason
    '59 requests running, limit 60, 18 kept for more urgent ones, 38/s ahead'
    >>> unreserved = UrgencyClaim(unreserved=True, position=0.5)
    >>> decide_by_urgency(full, load, unreserved, 0.2, 8.0, 0.5)
    Start()
    """
    unavailable = decide_unavailable(capacity, wait_left, time_left, jitter)
    if unavailable is not None:
        return unavailable
    kept = kept_slots(capacity, load, claim)
    free = capacity.limit - capacity.running
    if _starts(free, kept, capacity, load, claim):
        return Start()
    gain = (load.completions(capacity.running) - load.more_urgent) * wait_left
    can_gain = load.mean_seconds is None or _starts(
        free + gain, kept, capacity, load, claim
    )
    if wait_left > 0 and can_gain:
        return WaitForCapacity()
    reason = (
        f"{capacity.running} requests running, limit {capacity.limit}, "
        f"{kept:.0f} kept for more urgent ones, {load.ahead:.0f}/s ahead"
    )
    pause = retry_after_by_demand(
        load.more_urgent + load.own,
        load.completions(capacity.limit),
        time_left,
        jitter,
    )
    return Refuse(ErrorKind.OVERLOADED, reason, pause)


def _starts(
    free: float,
    kept: float,
    capacity: GroupCapacity,
    load: UrgencyLoad,
    claim: UrgencyClaim,
) -> bool:
    """Return whether a request starts if so many slots are free."""
    if free <= kept:
        return False
    if claim.unreserved or not is_overloaded(capacity, load):
        return True
    completions = load.completions(capacity.running)
    return claim.position < startable_share(free - kept, completions, load)


def is_overloaded(capacity: GroupCapacity, load: UrgencyLoad) -> bool:
    """
    Return whether the demand exceeds what the group completes at its limit.

    >>> load = UrgencyLoad(more_urgent=20.0, own=5.0, mean_seconds=2.0)
    >>> is_overloaded(GroupCapacity(True, 30, 60), load)
    False
    """
    if load.mean_seconds is None:
        return False
    demand = load.more_urgent + load.own + load.less_urgent
    return demand > load.completions(capacity.limit)


def startable_share(available: float, completions: float, load: UrgencyLoad) -> float:
    """
    Return the share of the reserved requests of a rank that may start.

    ``available`` slots and those of the completions are distributed over the smoothing
    time, first to the requests ahead. The share is at least 1 if all may start.

    >>> load = UrgencyLoad(more_urgent=10.0, own=50.0)
    >>> round(startable_share(3.0, 40.0, load), 2)
    0.53
    """
    rate = available / SMOOTHING_SECONDS + completions - load.ahead
    reserved = (1 - UNRESERVED_SHARE) * load.own
    if reserved <= 0:
        return math.inf if rate > 0 else 0.0
    return rate / reserved


def kept_slots(
    capacity: GroupCapacity, load: UrgencyLoad, claim: UrgencyClaim
) -> float:
    """
    Return the slots that a request must leave free for more urgent ones.

    >>> load = UrgencyLoad(more_urgent=20.0, own=40.0)
    >>> reserved = UrgencyClaim(unreserved=False, position=0.0)
    >>> kept_slots(GroupCapacity(True, 0, 60), load, reserved)
    5.0
    >>> kept_slots(GroupCapacity(True, 0, 10), load, reserved)
    3.0
    """
    if claim.unreserved:
        return 0.0
    seconds = (
        OVERLOAD_STARTS_SECONDS
        if is_overloaded(capacity, load)
        else UNKNOWN_STARTS_SECONDS
    )
    kept = load.more_urgent * seconds
    if claim.is_client_retry:
        kept = max(kept, NEW_CALLER_RESERVE * capacity.limit)
    return min(kept, MAX_RESERVED_FRACTION * capacity.limit)


def retry_after_by_demand(
    demand: float, completions: float, time_left: float, jitter: float
) -> float:
    """
    Return the Retry-After, in seconds, for a demand and completions per second.

    ``demand`` is that of the request's own rank and the more urgent ones. Up to the
    rate of completions, there will be capacity soon. Above it, the higher the demand,
    the longer it takes until a request gets capacity.

    >>> [retry_after_by_demand(rate, 30.0, 9.0, 0.0) for rate in (20.0, 60.0, 300.0)]
    [0.3, 0.975, 1.515]
    >>> [retry_after_by_demand(rate, 30.0, 9.0, 1.0) for rate in (20.0, 60.0, 300.0)]
    [1.65, 2.325, 2.865]
    """
    latest = max(time_left, 0.0) * HONOURED_FRACTION
    earliest = min(MIN_RETRY_AFTER_SECONDS, latest)
    excess = 0.0
    if 0 < completions < demand:
        excess = 1 - completions / demand
    position = (1 - RETRY_SPREAD) * excess + RETRY_SPREAD * jitter
    return round(earliest + (latest - earliest) * position, 3)
