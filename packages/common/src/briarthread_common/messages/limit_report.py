"""Report of an entry on the rate limit that a target states."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitReport:
    """
    Rate limit of a target for all entries together, in requests per second.

    ``per_second`` is ``None`` for a target that stated a limit and no longer does;
    ``age`` is how many seconds ago the target stated it.
    """

    per_second: float | None
    age: float = 0.0


def newest_limits(
    reports: Iterable[Mapping[str, LimitReport]],
) -> dict[str, LimitReport]:
    """
    Return the newest report on each target.

    >>> newest_limits([{"t": LimitReport(2.0, 0.5)}, {"t": LimitReport(None, 0.1)}])
    {'t': LimitReport(per_second=None, age=0.1)}
    """
    newest: dict[str, LimitReport] = {}
    for limits in reports:
        for target, limit in limits.items():
            if target not in newest or limit.age < newest[target].age:
                newest[target] = limit
    return newest
