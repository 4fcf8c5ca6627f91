"""What an entry tells the others of the attempts that it has running."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from briarthread_common.messages.crash_words import CrashWords, merge_crash_words
from briarthread_common.messages.limit_report import LimitReport, newest_limits

RUNNING_PATH = "/peer/v1/running"
"""Where an entry sends its reports."""
BLOCK_PATH = "/peer/v1/running-block"
"""Where a collector sends the sum of its block's reports."""
OTHERS_PATH = "/peer/v1/running-others"
"""Where a collector sends an entry, by its name, the sum of all others."""


class RunningReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Count the attempts running from one entry at each target, by its name.

    It goes out several times a second, so what has nothing to say is left out.

    Targets without any are left out. ``each`` gives, by the name of each group, the
    seconds that a running request adds to its passes, as the entry's own streams
    show it. ``limits`` is what the entry's own answers say of targets' limits,
    ``crashes`` what is known of requests that crash targets, ``leaving`` the targets
    that announced their shutdown to the entry, ``backoffs`` the remaining seconds of
    the backoffs that targets requested from it.
    """

    running: dict[str, int] = {}
    each: dict[str, float] = {}
    limits: dict[str, LimitReport] = {}
    crashes: CrashWords = CrashWords()
    leaving: tuple[str, ...] = ()
    backoffs: dict[str, float] = {}

    def same_as(self, other: "RunningReport") -> bool:
        """Tell whether another report says no more than this one."""
        if self.running != other.running or self.limits.keys() != other.limits.keys():
            return False
        if self.leaving != other.leaving:
            return False
        if self.backoffs.keys() != other.backoffs.keys():
            return False
        return self.crashes.same_as(other.crashes) and all(
            word.per_second == other.limits[target].per_second
            for target, word in self.limits.items()
        )


def merge_reports(reports: Sequence[RunningReport]) -> RunningReport:
    """
    Return what several entries have running together, and the mean of ``each``.

    >>> both = merge_reports([RunningReport({"t": 1}, {"s": 0.25}), RunningReport({"t": 2})])
    >>> both.running, both.each
    ({'t': 3}, {'s': 0.25})
    """
    running: Counter[str] = Counter()
    seen: defaultdict[str, list[float]] = defaultdict(list)
    for report in reports:
        running.update(report.running)
        for group, seconds in report.each.items():
            seen[group].append(seconds)
    each = {name: sum(values) / len(values) for name, values in seen.items()}
    limits = newest_limits(report.limits for report in reports)
    crashes = merge_crash_words(report.crashes for report in reports)
    leaving = merge_names(report.leaving for report in reports)
    backoffs = longest_backoffs(report.backoffs for report in reports)
    return RunningReport(dict(running), each, limits, crashes, leaving, backoffs)


def merge_names(name_lists: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    """Return the distinct names of all lists, sorted."""
    return tuple(sorted({name for names in name_lists for name in names}))


def longest_backoffs(backoff_maps: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """
    Return the longest remaining backoff of each target.

    >>> longest_backoffs([{"t": 1.0}, {"t": 2.5, "u": 0.5}])
    {'t': 2.5, 'u': 0.5}
    """
    longest: dict[str, float] = {}
    for backoffs in backoff_maps:
        for target, seconds in backoffs.items():
            longest[target] = max(longest.get(target, 0.0), seconds)
    return longest
