"""Report of an entry to the others on its running attempts."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from briarthread_common.core.decoding import Integer, WholeNumber
from briarthread_common.messages.crash_words import CrashWords, merge_crash_words
from briarthread_common.messages.limit_report import LimitReport, newest_limits

RUNNING_PATH = "/peer/v1/running"
"""Path at which an entry streams its reports."""
BLOCK_PATH = "/peer/v1/running-block"
"""Path at which a collector streams the sum of its block's reports."""
OTHERS_PATH = "/peer/v1/running-others"
"""Path, before an entry's name, at which a collector streams to that entry the sum
of all other entries' reports."""

MIN_DEMAND_CHANGE = 8.0
"""Change of a demand, in requests per second, up to which a report need not be sent.

The rate of one entry varies by two or three requests per second under a constant load.
Reports between data centres are paid for by the byte.
"""
MIN_DEMAND_CHANGE_FRACTION = 0.5
"""The same as a fraction of the larger demand, for sums over many entries."""

Demand = dict[str, dict[Integer, float]]
"""Requests per second by service and rank, which is 0 for the most urgent."""


class RunningReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Running attempts of one entry and what it knows of targets.

    It is sent several times a second, so empty fields are omitted.

    ``running`` is the number of attempts by target name, without targets that have
    none. ``each`` is, by group name, the time in seconds that a running request adds to
    a pass, as measured on the entry's own streams. ``limits`` are the rate limits that
    targets stated in responses to the entry, ``crashes`` is what it knows of requests
    that crash targets, ``leaving`` are the targets that announced their shutdown to the
    entry, ``backoffs`` the remaining seconds of the backoffs that targets requested
    from it, ``cold`` the remaining seconds for which the rate of cold targets is
    bounded. ``starts`` are the start times of the targets in ``limits``, ``leaving``
    and ``backoffs``, in milliseconds, as far as they are known: the report is about
    these runs of the targets. ``demand`` is the rate of arriving requests of the
    services whose routes differ in priority.
    """

    running: dict[str, WholeNumber] = {}
    each: dict[str, float] = {}
    limits: dict[str, LimitReport] = {}
    crashes: CrashWords = CrashWords()
    leaving: tuple[str, ...] = ()
    backoffs: dict[str, float] = {}
    cold: dict[str, float] = {}
    starts: dict[str, WholeNumber] = {}
    demand: Demand = {}

    def same_as(self, other: "RunningReport") -> bool:
        """Return whether another report need not be sent after this one."""
        if self.running != other.running or self.limits.keys() != other.limits.keys():
            return False
        if self.leaving != other.leaving or self.starts != other.starts:
            return False
        if self.backoffs.keys() != other.backoffs.keys():
            return False
        if self.cold.keys() != other.cold.keys():
            return False
        if not _is_similar_demand(self.demand, other.demand):
            return False
        return self.crashes.same_as(other.crashes) and all(
            limit.per_second == other.limits[target].per_second
            for target, limit in self.limits.items()
        )


def merge_reports(reports: Sequence[RunningReport]) -> RunningReport:
    """
    Merge the reports of several entries; ``each`` is averaged.

    >>> both = merge_reports(
    ...     [RunningReport({"t": 1}, {"s": 0.25}), RunningReport({"t": 2})]
    ... )
    >>> both.running, both.each
    ({'t': 3}, {'s': 0.25})
    """
    running: Counter[str] = Counter()
    request_costs: defaultdict[str, list[float]] = defaultdict(list)
    for report in reports:
        running.update(report.running)
        for group, seconds in report.each.items():
            request_costs[group].append(seconds)
    each = {name: sum(costs) / len(costs) for name, costs in request_costs.items()}
    limits = newest_limits(report.limits for report in reports)
    crashes = merge_crash_words(report.crashes for report in reports)
    leaving = merge_names(report.leaving for report in reports)
    backoffs = longest_backoffs(report.backoffs for report in reports)
    cold = longest_backoffs(report.cold for report in reports)
    starts = merge_starts(report.starts for report in reports)
    demand = sum_demands(report.demand for report in reports)
    return RunningReport(
        dict(running), each, limits, crashes, leaving, backoffs, cold, starts, demand
    )


def merge_names(name_lists: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    """Return the distinct names of all lists, sorted."""
    return tuple(sorted({name for names in name_lists for name in names}))


def merge_starts(start_maps: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Return the start times of all targets; reports on former runs are not merged."""
    return {name: start for starts in start_maps for name, start in starts.items()}


def longest_backoffs(backoff_maps: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """
    Return the longest remaining backoff, or other time, of each target.

    >>> longest_backoffs([{"t": 1.0}, {"t": 2.5, "u": 0.5}])
    {'t': 2.5, 'u': 0.5}
    """
    longest: dict[str, float] = {}
    for backoffs in backoff_maps:
        for target, seconds in backoffs.items():
            longest[target] = max(longest.get(target, 0.0), seconds)
    return longest


def sum_demands(demands: Iterable[Demand]) -> Demand:
    """
    Return the sum of several demands.

    >>> sum_demands([{"m": {0: 1.2}}, {}, {"m": {0: 2.4, 1: 0.5}}])
    {'m': {0: 3.6, 1: 0.5}}
    """
    total: Demand = {}
    for demand in demands:
        for service, rates in demand.items():
            sums = total.setdefault(service, {})
            for rank, rate in rates.items():
                sums[rank] = round(sums.get(rank, 0.0) + rate, 1)
    return total


def _is_similar_demand(demand: Demand, other: Demand) -> bool:
    """Return whether no rate differs by more than the smallest change to be sent."""
    if demand == other:
        return True
    return all(
        _is_similar_rate(
            demand.get(service, {}).get(rank, 0.0),
            other.get(service, {}).get(rank, 0.0),
        )
        for service in demand.keys() | other.keys()
        for rank in demand.get(service, {}).keys() | other.get(service, {}).keys()
    )


def _is_similar_rate(rate: float, other: float) -> bool:
    change_to_send = max(
        MIN_DEMAND_CHANGE, MIN_DEMAND_CHANGE_FRACTION * max(rate, other)
    )
    return abs(rate - other) <= change_to_send
