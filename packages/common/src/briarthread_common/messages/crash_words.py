"""Reports that entries exchange on requests during which targets crashed."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import msgspec
from msgspec import structs

from briarthread_common.messages.group_stop_report import GroupStopReport, join_stops


@dataclass(frozen=True, slots=True)
class CrashStrike:
    """
    Record that a target crashed while it was running a request.

    ``began`` and ``ended`` are how many seconds ago the run began and was interrupted.
    ``segments`` are the shared segments of the request's prompt, in order. ``silent``
    is true if the target fell silent, so that ``ended`` is an estimate.
    """

    target: str
    began: float
    ended: float
    segments: tuple[str, ...] = ()
    silent: bool = False

    def aged(self, seconds: float) -> "CrashStrike":
        """Return a copy that is ``seconds`` older."""
        return replace(self, began=self.began + seconds, ended=self.ended + seconds)


@dataclass(frozen=True, slots=True)
class BlockedSegments:
    """
    Segments of prompts that crash targets; a prompt with all of them is refused.

    ``blocked`` is how many seconds ago they were blocked, ``received`` how many seconds
    ago a request with them was last received. ``tried`` is true once a request has been
    let through to find out whether they still crash targets.
    """

    segments: tuple[str, ...]
    blocked: float
    received: float
    tried: bool = False

    def aged(self, seconds: float) -> "BlockedSegments":
        """Return a copy that is ``seconds`` older."""
        return replace(
            self, blocked=self.blocked + seconds, received=self.received + seconds
        )


class CrashWords(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Report on requests, by their digests, and on segments of their prompts.

    ``strikes`` are the crashes that an entry itself observed. ``cleared`` is how many
    seconds ago a request with strikes got a complete response, ``shut_out`` how many
    seconds ago a blocked request was last received. ``prompts`` are crashes that the
    entry observed while targets ran prompts, ``answered`` is how many seconds ago a
    prompt with a suspect segment was answered, ``blocked`` what is refused. ``stopped``
    is when the groups that the entry knows made no passes, by group.
    """

    strikes: dict[str, tuple[CrashStrike, ...]] = {}
    cleared: dict[str, float] = {}
    shut_out: dict[str, float] = {}
    prompts: tuple[CrashStrike, ...] = ()
    answered: dict[str, float] = {}
    blocked: tuple[BlockedSegments, ...] = ()
    stopped: dict[str, tuple[GroupStopReport, ...]] = {}

    def __bool__(self) -> bool:
        """Return whether the report has any content."""
        return bool(
            self.strikes
            or self.cleared
            or self.shut_out
            or self.prompts
            or self.answered
            or self.blocked
            or self.stopped
        )

    def same_as(self, other: "CrashWords") -> bool:
        """Return whether another report has the same content, regardless of age."""
        return (
            self.cleared.keys() == other.cleared.keys()
            and self.shut_out.keys() == other.shut_out.keys()
            and [(one.target, one.segments) for one in self.prompts]
            == [(one.target, one.segments) for one in other.prompts]
            and self.answered.keys() == other.answered.keys()
            and {(one.segments, one.tried) for one in self.blocked}
            == {(one.segments, one.tried) for one in other.blocked}
            and {digest: len(seen) for digest, seen in self.strikes.items()}
            == {digest: len(seen) for digest, seen in other.strikes.items()}
            and {group: len(stops) for group, stops in self.stopped.items()}
            == {group: len(stops) for group, stops in other.stopped.items()}
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
            tuple(one.aged(seconds) for one in self.prompts),
            {segment: age + seconds for segment, age in self.answered.items()},
            tuple(one.aged(seconds) for one in self.blocked),
            {
                group: tuple(stop.aged(seconds) for stop in stops)
                for group, stops in self.stopped.items()
            },
        )


def merge_crash_words(reports: Iterable[CrashWords]) -> CrashWords:
    """
    Merge the reports of several entries.

    >>> one = CrashWords({"d": (CrashStrike("t-1", 1.0, 0.9),)}, {"e": 2.0})
    >>> both = merge_crash_words([one, CrashWords({}, {"e": 1.0})])
    >>> both.cleared, len(both.strikes["d"])
    ({'e': 1.0}, 1)
    """
    merged = CrashWords({}, {}, {}, answered={}, stopped={})
    prompts: list[CrashStrike] = []
    blocked: dict[tuple[str, ...], BlockedSegments] = {}
    for report in reports:
        for digest, strikes in report.strikes.items():
            merged.strikes[digest] = (*merged.strikes.get(digest, ()), *strikes)
        for merged_ages, ages in (
            (merged.cleared, report.cleared),
            (merged.shut_out, report.shut_out),
            (merged.answered, report.answered),
        ):
            for key, age in ages.items():
                merged_ages[key] = min(age, merged_ages.get(key, age))
        for group, stops in report.stopped.items():
            merged.stopped[group] = join_stops((*merged.stopped.get(group, ()), *stops))
        prompts += report.prompts
        for one in report.blocked:
            blocked[one.segments] = _merge_blocked(one, blocked.get(one.segments, one))
    return structs.replace(
        merged, prompts=tuple(prompts), blocked=tuple(blocked.values())
    )


def _merge_blocked(one: BlockedSegments, other: BlockedSegments) -> BlockedSegments:
    return BlockedSegments(
        one.segments,
        min(one.blocked, other.blocked),
        min(one.received, other.received),
        one.tried or other.tried,
    )
