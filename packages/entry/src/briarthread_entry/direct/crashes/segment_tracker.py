"""Tracking of the segments of prompts that crash targets."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from briarthread_common.messages.crash_words import (
    BlockedSegments,
    CrashStrike,
    CrashWords,
)
from briarthread_entry.direct.crashes.crash_rule import (
    MIN_DOWNTIME_SECONDS,
    Strike,
    count_sequential_crashes,
)
from briarthread_entry.direct.crashes.proven_segments import NEVER, ProvenSegments
from briarthread_entry.direct.crashes.segment_rule import (
    Combination,
    blamed_segments,
    find_combination,
)

MAX_STRIKES = 256
"""Maximum number of strikes kept; the oldest is evicted first."""
MAX_BLOCKED = 128
"""Maximum number of blocked combinations; the one received least recently is evicted
first."""
MAX_REPORTED = 64
"""Maximum number of strikes, of segments and of combinations in a report."""
REPORTED_SECONDS = 30.0
"""Time in seconds for which crashes and answers are reported. Afterwards an entry that
starts or was cut off learns only what is blocked."""
REVIEW_SECONDS = 1.6
"""Time in seconds after a crash at which it is judged. Until then entries report which
other requests ran on the target: they wait for 1 s in case it did not crash."""
MAX_REVIEWED = 4
"""Maximum number of different prompts judged at a time, which takes some milliseconds.
When many targets crash together, the rest follow within a second or two."""
RETENTION_SECONDS = 600.0
"""Time in seconds for which strikes, and segments that are no longer sent, are kept.
Requests with a segment that crashes targets may be minutes apart."""
TRIAL_SECONDS = 60.0
"""Time in seconds after which one blocked request is let through. If other causes led
to the crashes, its answer clears the segments; otherwise one more target crashes."""

DecisionCallback = Callable[[str, str, str], None]
"""Called with a decision, its segments and the reason."""


@dataclass(frozen=True, slots=True)
class BlockedState:
    """
    What is known of a blocked combination, see BlockedSegments.

    Times are in seconds on the event loop's clock.
    """

    blocked_at: float
    received_at: float
    tried: bool = False


class SegmentTracker:
    """
    Track crashes by the segments of prompts and block the segments that cause them.

    ``may_try`` returns whether this entry is the one that tries segments again.
    ``on_blocked`` is called with segments that are blocked because of a crash that this
    entry saw, ``on_cleared`` with those that an answer to this entry cleared. Times are
    in seconds on the event loop's clock.

    >>> tracker = SegmentTracker(lambda decision, subject, reason: None)
    >>> for at in (1.0, 2.0, 3.0):
    ...     tracker.add(Strike("t", at, at + 0.1, segments=("a/1", "a/2")), "e")
    >>> tracker.find_blocked(("a/1", "a/2"), 5.0), tracker.find_blocked(("a/1",), 5.0)
    (('a/1', 'a/2'), None)
    """

    def __init__(self, on_decision: DecisionCallback) -> None:
        self.on_decision = on_decision
        self.may_try: Callable[[Combination], bool] = _never
        self.on_blocked: Callable[[Combination], None] = _ignore
        self.on_cleared: Callable[[Combination], None] = _ignore
        self.proven = ProvenSegments()
        self.strikes: deque[Strike] = deque(maxlen=MAX_STRIKES)
        self.own: deque[Strike] = deque(maxlen=MAX_REPORTED)
        self.unreviewed: deque[tuple[Strike, str]] = deque(maxlen=MAX_STRIKES)
        self.known_suspects: frozenset[str] | None = frozenset()
        self.blocked: dict[Combination, BlockedState] = {}

    def find_blocked(self, segments: Sequence[str], now: float) -> Combination | None:
        """Return blocked segments that a prompt has, ``None`` if it may be sent."""
        self._review(now)
        for combination, state in self.blocked.items():
            if set(combination).issubset(segments):
                self.blocked[combination] = replace(state, received_at=now)
                return combination
        return None

    def start_trial(self, combination: Combination, now: float) -> bool:
        """Return whether a request is let through to try blocked segments again."""
        state = self.blocked[combination]
        if state.tried or now - state.blocked_at < TRIAL_SECONDS:
            return False
        if not self.may_try(combination):
            return False
        self.blocked[combination] = replace(state, tried=True)
        self._decide("segments-tried", combination, "blocked for a while")
        return True

    def crash_count(self, segments: Sequence[str]) -> int:
        """Return the largest number of sequential crashes that count for a segment."""
        return max(
            (
                count_sequential_crashes(
                    strike for strike in self.strikes if segment in self._blamed(strike)
                )
                for segment in segments
                if segment in self.suspects()
            ),
            default=0,
        )

    def suspects(self) -> frozenset[str]:
        """Return the segments that are blamed for a crash and not answered since."""
        if self.known_suspects is None:
            self.known_suspects = frozenset().union(*map(self._blamed, self.strikes))
        return self.known_suspects

    def is_suspect(self, segments: Iterable[str]) -> bool:
        """Return whether one of some segments is a suspect."""
        return not self.suspects().isdisjoint(segments)

    def explains(self, strike: Strike) -> bool:
        """Return whether a crash is explained by a prompt with blocked segments."""
        return any(
            set(combination).issubset(other.segments)
            for other in self.strikes
            if other.is_same_crash(strike)
            for combination in self.blocked
        )

    def note_crash(self, strike: Strike) -> None:
        """Record that a target crashed while this entry ran a prompt there."""
        self.own.append(strike)
        self.add(strike, "this entry")

    def note_alive(self, target: str, sent: float, started_ms: int | None) -> None:
        """Withdraw what a response to a request sent at ``sent`` disproves."""
        for strike in list(self.own):
            if strike.is_disproved_by(target, sent, started_ms):
                self._withdraw(target, strike.ended)

    def add(self, strike: Strike, source: str) -> None:
        """Add a strike that this entry or another one, the source, has observed."""
        alike = (s for s in self.strikes if s.segments == strike.segments)
        if any(strike.is_same_crash(other) for other in alike):
            return
        self.strikes.append(strike)
        self.unreviewed.append((strike, source))
        self.known_suspects = None

    def _withdraw(self, target: str, ended: float) -> None:
        """Withdraw the strikes of a target that did not crash."""
        own = [s for s in self.own if not s.ended_with(target, ended)]
        self.own = deque(own, MAX_REPORTED)
        kept = [s for s in self.strikes if not s.ended_with(target, ended)]
        self.strikes = deque(kept, MAX_STRIKES)
        pending = [p for p in self.unreviewed if not p[0].ended_with(target, ended)]
        self.unreviewed = deque(pending, MAX_STRIKES)
        self.known_suspects = None

    def note_answered(self, segments: Sequence[str], now: float) -> None:
        """Record that a target has answered a prompt of this entry without a crash."""
        times = dict.fromkeys(segments, now)
        for combination, kept in self._note_answers(times, "this entry"):
            self.on_cleared(combination)
            if kept:
                self.on_blocked(kept)

    def load(self, combination: Combination, now: float) -> None:
        """Block segments that were blocked before this process started."""
        if combination not in self.blocked:
            self._block(combination, BlockedState(now, now), "the store")

    def report(
        self, now: float
    ) -> tuple[tuple[CrashStrike, ...], dict[str, float], tuple[BlockedSegments, ...]]:
        """
        Return this entry's strikes, the ages of answers and what is blocked.

        Strikes are reported only when they can no longer be withdrawn, because a
        withdrawal is not reported.
        """
        self._review(now)
        self._drop_expired(now)
        prompts = [
            CrashStrike(
                strike.target,
                round(now - strike.began, 3),
                round(now - strike.ended, 3),
                strike.segments,
                strike.silent,
            )
            for strike in self.own
            if MIN_DOWNTIME_SECONDS <= now - strike.ended < REPORTED_SECONDS
        ]
        answered = self._answered(now)
        newest = sorted(answered.items(), key=_age_and_name)[:MAX_REPORTED]
        blocked = [
            BlockedSegments(
                combination,
                round(now - state.blocked_at, 3),
                round(now - state.received_at, 3),
                state.tried,
            )
            for combination, state in list(self.blocked.items())[-MAX_REPORTED:]
        ]
        return tuple(prompts), dict(newest), tuple(blocked)

    def _answered(self, now: float) -> dict[str, float]:
        """Return the ages of answers to report, by segment."""
        since = now - REPORTED_SECONDS
        recent = (s.segments for s in self.strikes if s.ended >= since)
        is_recent = frozenset().union(*recent)
        struck = frozenset().union(*(s.segments for s in self.strikes))
        return {
            segment: round(now - at, 3)
            for segment in struck
            if (at := self.proven.last(segment)) != NEVER
            and (at >= since or segment in is_recent)
        }

    def merge(self, source: str, report: CrashWords, now: float) -> None:
        """Merge what another entry reports on segments."""
        for one in report.prompts:
            began, ended = now - one.began, now - one.ended
            strike = Strike(
                one.target, began, ended, segments=one.segments, silent=one.silent
            )
            self.add(strike, source)
        times = {segment: now - age for segment, age in report.answered.items()}
        self._note_answers(times, source)
        for one in report.blocked:
            if one.received < RETENTION_SECONDS:
                self._merge_blocked(source, one, now)

    def _review(self, now: float) -> None:
        """Judge the crashes of which all other entries have reported by now."""
        due = [p for p in self.unreviewed if now - p[0].ended >= REVIEW_SECONDS]
        prompts = dict.fromkeys(strike.segments for strike, _ in due)
        judged = list(prompts)[:MAX_REVIEWED]
        for strike, source in due:
            if strike.segments in judged:
                self.unreviewed.remove((strike, source))
                prompts[strike.segments] = (strike, source)
        # A more specific prompt may explain the crashes that a shorter one shares.
        for segments in sorted(judged, key=len, reverse=True):
            self._judge(*prompts[segments], now)

    def _judge(self, strike: Strike, source: str, now: float) -> None:
        last_answer = self.proven.last
        combination = find_combination(strike, self.strikes, self.blocked, last_answer)
        if combination is None:
            return
        self._block(combination, BlockedState(now, now), source)
        if any(s.own and set(combination).issubset(s.segments) for s in self.strikes):
            self.on_blocked(combination)

    def _merge_blocked(self, source: str, one: BlockedSegments, now: float) -> None:
        blocked_at = now - one.blocked
        combination = self._still_blamed(one.segments, blocked_at)
        if combination:
            state = BlockedState(blocked_at, now - one.received, one.tried)
            self._block(combination, state, source)

    def _blamed(self, strike: Strike) -> Combination:
        return blamed_segments(strike, self.proven.last)

    def _block(
        self, combination: Combination, state: BlockedState, source: str
    ) -> None:
        """Block a combination, unless a part of it is; it replaces those it is in."""
        segments = set(combination)
        for other, known in list(self.blocked.items()):
            if segments.issuperset(other):
                self.blocked[other] = _later(known, state)
                return
            if segments.issubset(other):
                del self.blocked[other]
        self.blocked[combination] = state
        self._decide(
            "segments-blocked",
            combination,
            f"they crash targets, according to {source}",
        )
        if len(self.blocked) > MAX_BLOCKED:
            del self.blocked[min(self.blocked, key=self._received_at)]

    def _received_at(self, combination: Combination) -> float:
        return self.blocked[combination].received_at

    def _note_answers(
        self, times: Mapping[str, float], source: str
    ) -> list[tuple[Combination, Combination]]:
        """
        Record when segments were answered.

        Return the combinations that this clears, each with what of it stays blocked.
        """
        for segment, at in times.items():
            self.proven.note(segment, at)
        if self.is_suspect(times):
            self.known_suspects = None
        cleared = []
        for combination, state in list(self.blocked.items()):
            kept = self._still_blamed(combination, state.blocked_at)
            if kept == combination or self.blocked.pop(combination, None) is None:
                continue
            cleared.append((combination, kept))
            self._decide("segments-cleared", combination, f"answered, by {source}")
            if kept:
                self._block(kept, state, source)
        return cleared

    def _still_blamed(self, combination: Combination, blocked_at: float) -> Combination:
        """
        Return the segments of a combination that were not answered since.

        Once the most specific one was answered, the others are not blocked on the same
        evidence, since they are likely to be common.
        """
        if self.proven.last(combination[-1]) > blocked_at:
            return ()
        return tuple(s for s in combination if self.proven.last(s) <= blocked_at)

    def _drop_expired(self, now: float) -> None:
        for combination, state in list(self.blocked.items()):
            if now - state.received_at > RETENTION_SECONDS:
                del self.blocked[combination]
                reason = f"not sent for {RETENTION_SECONDS:g} s"
                self._decide("segments-cleared", combination, reason)
        while self.strikes and now - self.strikes[0].ended > RETENTION_SECONDS:
            self.strikes.popleft()
            self.known_suspects = None

    def _decide(self, decision: str, combination: Combination, reason: str) -> None:
        self.on_decision(decision, " ".join(combination), reason)


def _later(one: BlockedState, other: BlockedState) -> BlockedState:
    return BlockedState(
        max(one.blocked_at, other.blocked_at),
        max(one.received_at, other.received_at),
        one.tried or other.tried,
    )


def _never(combination: Combination) -> bool:
    """Return that this entry does not try blocked segments."""
    return False


def _age_and_name(pair: tuple[str, float]) -> tuple[float, str]:
    segment, age = pair
    return age, segment


def _ignore(combination: Combination) -> None:
    """Ignore a change of what is blocked."""
