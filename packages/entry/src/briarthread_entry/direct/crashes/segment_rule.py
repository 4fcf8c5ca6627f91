"""
Rule that decides which segments of prompts crash the targets that answer them.

A segment may crash each target that begins to answer a prompt with it, whatever else
the prompt holds, so that no two of the requests are alike. Other prompts share the
account and the other segments, and have to be served.

What the prompts of several crashed runs have in common is blocked: a request is refused
only if its prompt has all of these segments. Of each prompt only those segments are
blamed that targets have answered least recently, so that answers to other prompts
exonerate a segment. All requests that ran on a crashed target are suspects, and most
are bystanders: a crash that a blocked combination explains counts for no other segment,
and segments are not blocked while another account may be the cause of all crashes.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from briarthread_entry.direct.crashes.crash_rule import Strike, count_sequential_crashes

Combination = tuple[str, ...]
"""Segments of a prompt, in order, that together identify the cause of crashes."""
LastAnswer = Callable[[str], float]
"""Return when a prompt with a segment was last answered, -inf if never."""
MIN_SEQUENTIAL_CRASHES = 3
"""Sequential crashes after which segments are blocked if they include the last shared
one of each prompt, and if no other account had a suspect at one of the crashes."""
MIN_CRASHES_IN_DOUBT = 5
"""Crashes after which segments are blocked in any other case. With fewer, two causes
that share a segment could not be told from that segment."""
MIN_UNEXPLAINED_CRASHES = 2
"""Crashes required that no blocked combination explains. Others with the same segment
then narrow the combination down."""
MIN_SEQUENTIAL_IN_DOUBT = 2
"""Sequential crashes required among those: targets that crash only once, at the same
time, may have done so for any reason."""


@dataclass(frozen=True, slots=True)
class _Crash:
    """
    The accounts of all requests that ran when a target crashed.

    ``explained_by`` are the blocked segments that are known to be the cause.
    """

    accounts: set[str] = field(default_factory=set)
    explained_by: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Suspicion:
    """A strike, the segments blamed for it and its crash."""

    strike: Strike
    blamed: Combination
    crash: _Crash

    def counts_for(self, segment: str) -> bool:
        """Return whether the crash is evidence against a segment."""
        if segment not in self.blamed:
            return False
        explained_by = self.crash.explained_by
        return not explained_by or segment in explained_by


def blamed_segments(strike: Strike, last_answer: LastAnswer) -> Combination:
    """
    Return the segments of a crashed run that may be the cause.

    >>> strike = Strike("t-1", 5.0, 5.1, segments=("a/1", "a/2", "a/3"))
    >>> blamed_segments(strike, lambda segment: 4.0 if segment == "a/1" else 0.0)
    ('a/2', 'a/3')
    >>> blamed_segments(strike, lambda segment: 6.0)
    ()
    """
    possible = [s for s in strike.segments if last_answer(s) < strike.ended]
    oldest = min(map(last_answer, possible), default=0.0)
    return tuple(s for s in possible if last_answer(s) == oldest)


def find_combination(
    newest: Strike,
    strikes: Sequence[Strike],
    blocked: Collection[Combination],
    last_answer: LastAnswer,
) -> Combination | None:
    """
    Return the segments to block after a new strike, ``None`` if no evidence suffices.

    ``strikes`` includes the new one. Of several combinations the one with the most
    crashes is returned, then the most specific one.

    >>> strikes = [
    ...     Strike("t-1", 1.0, 1.1, segments=("a/1", "a/2")),
    ...     Strike("t-2", 2.0, 2.1, segments=("a/1", "a/2")),
    ...     Strike("t-3", 3.0, 3.1, segments=("a/1", "a/2")),
    ... ]
    >>> never_answered = lambda segment: float("-inf")
    >>> find_combination(strikes[-1], strikes, [], never_answered)
    ('a/1', 'a/2')
    >>> find_combination(strikes[1], strikes[:2], [], never_answered)
    """
    related = [s for s in strikes if not set(s.segments).isdisjoint(newest.segments)]
    if len(related) < MIN_SEQUENTIAL_CRASHES:
        return None
    crashes = _group_by_crash(strikes, blocked)
    suspicions = [
        _Suspicion(strike, blamed_segments(strike, last_answer), crash)
        for strike, crash in zip(strikes, crashes, strict=True)
        if not set(strike.segments).isdisjoint(newest.segments)
    ]
    found: list[tuple[int, int, Combination]] = []
    for segment in blamed_segments(newest, last_answer):
        support = [one for one in suspicions if one.counts_for(segment)]
        common = _common_segments(support)
        combination = tuple(s for s in newest.segments if s in common)
        if _is_sufficient(combination, support):
            found.append((_count_crashes(support), len(combination), combination))
    return max(found)[2] if found else None


def account_of(strike: Strike) -> str:
    """
    Return the account of a crashed run, empty if its prompt shares no segment.

    >>> account_of(Strike("t-1", 1.0, 1.1, segments=("a/1",)))
    'a'
    """
    return strike.segments[0].rpartition("/")[0] if strike.segments else ""


def _group_by_crash(
    strikes: Sequence[Strike], blocked: Collection[Combination]
) -> list[_Crash]:
    """Return the crash of each strike; strikes of the same crash share it."""
    by_target: dict[str, list[tuple[Strike, _Crash]]] = {}
    crashes: list[_Crash] = []
    for strike in strikes:
        known = by_target.setdefault(strike.target, [])
        crash = next((c for s, c in known if s.is_same_crash(strike)), None)
        if crash is None:
            crash = _Crash()
            known.append((strike, crash))
        crash.accounts.add(account_of(strike))
        for combination in blocked:
            if set(combination).issubset(strike.segments):
                crash.explained_by.update(combination)
        crashes.append(crash)
    return crashes


def _count_crashes(support: Sequence[_Suspicion]) -> int:
    return len({id(one.crash) for one in support})


def _common_segments(support: Sequence[_Suspicion]) -> set[str]:
    if not support:
        return set()
    return set.intersection(*(set(one.blamed) for one in support))


def _is_sufficient(combination: Combination, support: Sequence[_Suspicion]) -> bool:
    """Return whether crashes suffice to block a combination of segments."""
    unexplained = [one for one in support if not one.crash.explained_by]
    if not combination or _count_crashes(unexplained) < MIN_UNEXPLAINED_CRASHES:
        return False
    strikes = [one.strike for one in support]
    sequential = count_sequential_crashes(strikes)
    is_specific = all(strike.segments[-1] in combination for strike in strikes)
    was_alone = any(len(one.crash.accounts) == 1 for one in support)
    if is_specific and was_alone and sequential >= MIN_SEQUENTIAL_CRASHES:
        return True
    return (
        sequential >= MIN_SEQUENTIAL_IN_DOUBT
        and _count_crashes(support) >= MIN_CRASHES_IN_DOUBT
        and len(set.intersection(*(one.crash.accounts for one in support))) == 1
    )
