"""Reports that entries exchange on requests during which targets crashed."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class CrashStrike:
    """
    Record that a target crashed while it was running a request.

    ``began`` and ``ended`` are how many seconds ago the run began and was interrupted.
    """

    target: str
    began: float
    ended: float

    def aged(self, seconds: float) -> "CrashStrike":
        """Return a copy that is ``seconds`` older."""
        return CrashStrike(self.target, self.began + seconds, self.ended + seconds)


class CrashWords(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Report on requests, by their digests.

    ``strikes`` are the crashes that an entry itself observed. ``cleared`` is how many
    seconds ago a request with strikes got a complete response, ``shut_out`` how many
    seconds ago a blocked request was last received.
    """

    strikes: dict[str, tuple[CrashStrike, ...]] = {}
    cleared: dict[str, float] = {}
    shut_out: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether the report has any content."""
        return bool(self.strikes or self.cleared or self.shut_out)

    def same_as(self, other: "CrashWords") -> bool:
        """Return whether another report has the same content, regardless of age."""
        return (
            self.cleared.keys() == other.cleared.keys()
            and self.shut_out.keys() == other.shut_out.keys()
            and {digest: len(seen) for digest, seen in self.strikes.items()}
            == {digest: len(seen) for digest, seen in other.strikes.items()}
        )

    def aged(self, seconds: float) -> "CrashWords":
        """
        Return a copy that is ``seconds`` older.

        >>> CrashWords(shut_out={"d": 1.0}).aged(0.5).shut_out
        {'d': 1.5}
        """
        return CrashWords(
            {
                digest: tuple(strike.aged(seconds) for strike in strikes)
                for digest, strikes in self.strikes.items()
            },
            {digest: age + seconds for digest, age in self.cleared.items()},
            {digest: age + seconds for digest, age in self.shut_out.items()},
        )


def merge_crash_words(reports: Iterable[CrashWords]) -> CrashWords:
    """
    Merge the reports of several entries.

    >>> one = CrashWords({"d": (CrashStrike("t-1", 1.0, 0.9),)}, {"e": 2.0})
    >>> both = merge_crash_words([one, CrashWords({}, {"e": 1.0})])
    >>> both.cleared, len(both.strikes["d"])
    ({'e': 1.0}, 1)
    """
    merged = CrashWords({}, {}, {})
    for report in reports:
        for digest, strikes in report.strikes.items():
            merged.strikes[digest] = (*merged.strikes.get(digest, ()), *strikes)
        for merged_ages, ages in (
            (merged.cleared, report.cleared),
            (merged.shut_out, report.shut_out),
        ):
            for digest, age in ages.items():
                merged_ages[digest] = min(age, merged_ages.get(digest, age))
    return merged
