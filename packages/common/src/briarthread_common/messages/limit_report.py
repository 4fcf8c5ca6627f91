"""What an entry says of the limit that a target named."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitReport:
    """
    State the requests a second that a target takes from all entries together.

    ``per_second`` is ``None`` for one that named a limit and no longer does; ``age``
    is how many seconds ago it said so.
    """

    per_second: float | None
    age: float = 0.0


def newest_limits(told: Iterable[Mapping[str, LimitReport]]) -> dict[str, LimitReport]:
    """
    Return the newest word on each target.

    >>> newest_limits([{"t": LimitReport(2.0, 0.5)}, {"t": LimitReport(None, 0.1)}])
    {'t': LimitReport(per_second=None, age=0.1)}
    """
    newest: dict[str, LimitReport] = {}
    for words in told:
        for target, word in words.items():
            if target not in newest or word.age < newest[target].age:
                newest[target] = word
    return newest
