"""Tracking of requests that were running when targets crashed."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass

from loguru import logger

from briarthread_common.messages.crash_words import CrashStrike, CrashWords
from briarthread_entry.direct.crashes.crash_rule import (
    MAX_CRASHES,
    MIN_DOWNTIME_SECONDS,
    Strike,
    count_sequential_crashes,
)
from briarthread_entry.direct.crashes.known_stops import KnownStops
from briarthread_entry.direct.crashes.segment_tracker import SegmentTracker

HARMLESS_SECONDS = 60.0
"""Time in seconds for which a complete response proves a request harmless."""
MAX_HARMLESS = 4096
"""Maximum number of harmless requests kept; the oldest entry is evicted first."""
MAX_SUSPECTS = 512
"""Maximum number of requests with strikes; the least recently struck is evicted."""
MAX_REPORTED = 64
"""Maximum number of requests per category in a report; the newest are reported."""
RETENTION_SECONDS = 120.0
"""Time in seconds for which a request that is no longer sent is kept."""
CLEARED_REPORT_SECONDS = 10.0
"""Time in seconds for which a cleared request is reported to other entries."""

DecisionCallback = Callable[[str, str, str], None]
"""Called with a decision, the digest of its request and the reason."""


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """
    A request that is running at a target.

    ``started_ms`` is the start time of the target's run, ``None`` if it is not known.
    """

    digest: str
    target: str
    started_ms: int | None = None
    segments: tuple[str, ...] = ()


class CrashTracker:
    """
    Track crashes by request digest and block requests that crash their targets.

    ``strikes`` holds what all entries have seen and ``own`` what this entry has seen
    itself. ``segments`` tracks the same crashes by the segments of the prompts,
    ``stops`` when the groups of the targets made no passes.
    ``on_blocked`` is called with the digest of a request that is blocked because of a
    crash that this entry saw, ``on_cleared`` with one that it answered. Times are in
    seconds on the event loop's clock.

    >>> tracker = CrashTracker()
    >>> for number in range(3):
    ...     tracker.note_crash("d", f"t-{number}", float(number), number + 0.1)
    >>> tracker.is_blocked("d", now=3.0)
    True
    """

    def __init__(self, on_decision: DecisionCallback | None = None) -> None:
        self.on_decision = on_decision or _log
        self.on_blocked: Callable[[str], None] = _ignore
        self.on_cleared: Callable[[str], None] = _ignore
        self.segments = SegmentTracker(self.on_decision)
        self.stops = KnownStops()
        self.strikes: OrderedDict[str, list[Strike]] = OrderedDict()
        self.own: dict[str, list[Strike]] = {}
        self.harmless: OrderedDict[str, float] = OrderedDict()
        self.cleared: dict[str, float] = {}
        self.blocked: dict[str, float] = {}
        self.excused: set[str] = set()
        self.running: Counter[RunningRequest] = Counter()

    def is_blocked(self, digest: str, now: float) -> bool:
        """Return whether a request that has just arrived must be refused."""
        if digest not in self.blocked or self._is_excused(digest):
            return False
        self.blocked[digest] = now
        return True

    def crash_count(self, digest: str, segments: tuple[str, ...] = ()) -> int:
        """Return the number of crashes that count against a request or its prompt."""
        own_crashes = count_sequential_crashes(self.strikes.get(digest, ()))
        return max(own_crashes, self.segments.crash_count(segments))

    def _is_excused(self, digest: str) -> bool:
        """
        Return whether blocked segments of other prompts explain a request's crashes.

        Such a request ran beside the cause each time, as one that many callers send
        alike does.
        """
        strikes = self.strikes.get(digest, [])
        left = [strike for strike in strikes if not self.segments.explains(strike)]
        is_excused = bool(strikes) and count_sequential_crashes(left) < MAX_CRASHES
        if is_excused and digest not in self.excused:
            self.excused.add(digest)
            self.on_decision("request-excused", digest, "its crashes are explained")
            self.on_cleared(digest)
        return is_excused

    def note_start(self, run: RunningRequest) -> None:
        """Record that a request is being sent to a run of a target."""
        self.running[run] += 1

    def note_end(self, run: RunningRequest) -> None:
        """Record that a request has ended at a run of a target."""
        if self.running[run] <= 1:
            del self.running[run]
        else:
            self.running[run] -= 1

    def discard_running(self, targets: Collection[str]) -> None:
        """Forget what is running at the given targets, which were restarted."""
        for run in [run for run in self.running if run.target in targets]:
            del self.running[run]

    def suspect_targets(self) -> set[str]:
        """Return the targets that run a suspect request, which other requests avoid."""
        if not self.strikes and not self.segments.suspects():
            return set()
        return {
            run.target
            for run in self.running
            if run.digest in self.strikes or self.segments.is_suspect(run.segments)
        }

    def note_crash(
        self,
        digest: str,
        target: str,
        began: float,
        now: float,
        started_ms: int | None = None,
        segments: tuple[str, ...] | None = None,
        silent: bool = False,
    ) -> None:
        """
        Record that a target crashed at ``now`` before it answered much.

        ``segments`` are those of the prompt, ``None`` for a request without one. With
        ``silent`` it fell silent, without ending its connections.
        """
        strike = Strike(
            target, began, now, started_ms, segments or (), own=True, silent=silent
        )
        if segments is not None:
            self.segments.note_crash(strike)
        if self._is_harmless(digest, now):
            return
        self.own.setdefault(digest, []).append(strike)
        self._add(digest, strike, now, "this entry")

    def note_alive(
        self, target: str, sent: float, started_ms: int | None = None
    ) -> None:
        """
        Withdraw strikes disproved by a response to a request sent at ``sent``.

        A response of another run of the target disproves nothing.
        """
        self.segments.note_alive(target, sent, started_ms)
        disproved = [
            (digest, strike.ended)
            for digest, strikes in self.own.items()
            for strike in strikes
            if strike.is_disproved_by(target, sent, started_ms)
        ]
        for digest, at in disproved:
            self._withdraw(digest, target, at)

    def note_complete_response(self, digest: str, now: float) -> None:
        """Record that a request was answered completely, which clears it."""
        self._note_harmless(digest, now)
        if digest in self.blocked:
            self.on_cleared(digest)
        if digest in self.strikes or digest in self.blocked:
            self.cleared[digest] = now
            self._clear(digest, "answered completely")

    def load(self, digest: str, now: float) -> None:
        """Block a request that was blocked before this process started."""
        self._block(digest, now, "the store")

    def report(self, now: float) -> CrashWords:
        """
        Return the report for other entries.

        Strikes are reported only when they can no longer be withdrawn, because a
        withdrawal is not reported.
        """
        self._drop_expired(now)
        reported: dict[str, tuple[CrashStrike, ...]] = {}
        for digest, strikes in list(self.own.items())[-MAX_REPORTED:]:
            final = [s for s in strikes if now - s.ended >= MIN_DOWNTIME_SECONDS]
            if final:
                reported[digest] = tuple(
                    _reported_strike(strike, now) for strike in final
                )
        return CrashWords(
            reported,
            _ages(self.cleared, now),
            _ages(self._blocked_by_crashes(), now),
            *self.segments.report(now),
            self.stops.report(now),
        )

    def _blocked_by_crashes(self) -> dict[str, float]:
        """Return what is blocked, apart from requests that are excused."""
        return {d: at for d, at in self.blocked.items() if d not in self.excused}

    def merge(self, source: str, report: CrashWords, now: float) -> None:
        """Merge the report of another entry."""
        for digest, age in report.cleared.items():
            if self.harmless.get(digest, float("-inf")) < now - age:
                self._note_harmless(digest, now - age)
                self._clear(digest, f"reported by {source} {age:.1f} s ago")
        for digest, strikes in report.strikes.items():
            for reported in strikes:
                strike = Strike(
                    reported.target,
                    now - reported.began,
                    now - reported.ended,
                    silent=reported.silent,
                )
                if not self._is_harmless(digest, strike.ended):
                    self._add(digest, strike, now, source)
        for digest, age in report.shut_out.items():
            if age < RETENTION_SECONDS and not self._is_harmless(digest, now):
                self._block(digest, now - age, source)
        self.stops.merge(report.stopped, now)
        self.segments.merge(source, report, now)

    def _note_harmless(self, digest: str, at: float) -> None:
        """Record that a request was answered completely at some time."""
        self.harmless[digest] = at
        self.harmless.move_to_end(digest)
        if len(self.harmless) > MAX_HARMLESS:
            self.harmless.popitem(last=False)

    def _is_harmless(self, digest: str, at: float) -> bool:
        """Return whether a recent complete response proves a request harmless."""
        answered = self.harmless.get(digest)
        return answered is not None and at - answered < HARMLESS_SECONDS

    def _add(self, digest: str, strike: Strike, now: float, source: str) -> None:
        seen = self.strikes.setdefault(digest, [])
        if any(strike.is_same_crash(other) for other in seen):
            return
        seen.append(strike)
        self.strikes.move_to_end(digest)
        count = count_sequential_crashes(seen)
        reason = (
            f"{strike.target} crashed {now - strike.ended:.1f} s ago, "
            f"{count} of {MAX_CRASHES}, according to {source}"
        )
        self.on_decision("request-suspected", digest, reason)
        if count >= MAX_CRASHES:
            self._block(digest, now, source)
            if any(other.own for other in seen):
                self.on_blocked(digest)
        if len(self.strikes) > MAX_SUSPECTS:
            oldest, _ = self.strikes.popitem(last=False)
            self.own.pop(oldest, None)

    def _block(self, digest: str, at: float, source: str) -> None:
        if digest not in self.blocked:
            self.on_decision(
                "request-shut-out",
                digest,
                f"it crashes its targets, according to {source}",
            )
        self.blocked[digest] = max(at, self.blocked.get(digest, at))

    def _withdraw(self, digest: str, target: str, at: float) -> None:
        """Withdraw a strike because its target did not crash."""
        for records in (self.own, self.strikes):
            seen = records.get(digest, [])
            seen[:] = [strike for strike in seen if not strike.ended_with(target, at)]
        self.on_decision("suspicion-withdrawn", digest, f"{target} did not crash")
        self._drop_empty(digest)

    def _drop_empty(self, digest: str) -> None:
        for records in (self.own, self.strikes):
            if digest in records and not records[digest]:
                del records[digest]
        if digest in self.blocked and self.crash_count(digest) < MAX_CRASHES:
            del self.blocked[digest]

    def _clear(self, digest: str, reason: str) -> None:
        if digest in self.strikes or digest in self.blocked:
            self.on_decision("request-cleared", digest, reason)
        for records in (self.strikes, self.own, self.blocked):
            records.pop(digest, None)
        self.excused.discard(digest)

    def _drop_expired(self, now: float) -> None:
        for digest in [
            d for d, at in self.blocked.items() if now - at > RETENTION_SECONDS
        ]:
            self._clear(digest, f"not sent for {RETENTION_SECONDS:g} s")
        for digest, seen in list(self.strikes.items()):
            if digest not in self.blocked and now - seen[-1].ended > RETENTION_SECONDS:
                self._clear(digest, f"no crash for {RETENTION_SECONDS:g} s")
        for digest, at in list(self.cleared.items()):
            if now - at > CLEARED_REPORT_SECONDS:
                del self.cleared[digest]


def _reported_strike(strike: Strike, now: float) -> CrashStrike:
    began, ended = round(now - strike.began, 3), round(now - strike.ended, 3)
    return CrashStrike(strike.target, began, ended, silent=strike.silent)


def _ages(times: dict[str, float], now: float) -> dict[str, float]:
    newest = sorted(times.items(), key=lambda pair: pair[1])[-MAX_REPORTED:]
    return {digest: round(now - at, 3) for digest, at in newest}


def _ignore(digest: str) -> None:
    """Ignore a change of what is blocked."""


def _log(decision: str, digest: str, reason: str) -> None:
    logger.info("crashes: {} {}: {}", decision, digest, reason)
