"""What entries tell each other of requests under which targets crashed."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class CrashStrike:
    """
    Say that a target crashed while it had begun a request.

    ``began`` and ``ended`` are how many seconds ago the run began and broke off.
    """

    target: str
    began: float
    ended: float

    def aged(self, seconds: float) -> "CrashStrike":
        """Return the strike as it is some seconds later."""
        return CrashStrike(self.target, self.began + seconds, self.ended + seconds)


class CrashWords(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Hold words on requests by their digests.

    ``strikes`` are those that an entry saw itself. ``cleared`` tells how many seconds
    ago a request that had strikes was answered whole, ``shut_out`` how long ago one
    that is shut out was last asked.
    """

    strikes: dict[str, tuple[CrashStrike, ...]] = {}
    cleared: dict[str, float] = {}
    shut_out: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Tell whether anything is said."""
        return bool(self.strikes or self.cleared or self.shut_out)

    def same_as(self, other: "CrashWords") -> bool:
        """Tell whether another says the same, whatever its age."""
        return (
            self.cleared.keys() == other.cleared.keys()
            and self.shut_out.keys() == other.shut_out.keys()
            and {digest: len(seen) for digest, seen in self.strikes.items()}
            == {digest: len(seen) for digest, seen in other.strikes.items()}
        )

    def aged(self, seconds: float) -> "CrashWords":
        """
        Return the words as they are some seconds later.

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


def merge_crash_words(told: Iterable[CrashWords]) -> CrashWords:
    """
    Return what several say together.

    >>> one = CrashWords({"d": (CrashStrike("t-1", 1.0, 0.9),)}, {"e": 2.0})
    >>> both = merge_crash_words([one, CrashWords({}, {"e": 1.0})])
    >>> both.cleared, len(both.strikes["d"])
    ({'e': 1.0}, 1)
    """
    both = CrashWords({}, {}, {})
    for words in told:
        for digest, strikes in words.strikes.items():
            both.strikes[digest] = (*both.strikes.get(digest, ()), *strikes)
        for kept, said in (
            (both.cleared, words.cleared),
            (both.shut_out, words.shut_out),
        ):
            for digest, age in said.items():
                kept[digest] = min(age, kept.get(digest, age))
    return both
