"""What an entry knows of requests under which targets crashed."""

from collections import Counter, OrderedDict
from collections.abc import Callable

from loguru import logger

from briarthread_common.messages.crash_words import CrashStrike, CrashWords
from briarthread_entry.direct.crash_rule import (
    MAX_CRASHES,
    Strike,
    count_sequential_crashes,
)

HARMLESS_SECONDS = 60.0
"""How long a whole answer shows that a request crashes nothing."""
MAX_HARMLESS = 4096
"""Requests remembered as answered whole; the one answered longest ago goes first."""
MAX_SUSPECTS = 512
"""Requests with strikes that are remembered; the one struck longest ago goes first."""
MAX_REPORTED = 64
"""Requests of each sort that other entries are told of, the newest."""
RETENTION_SECONDS = 120.0
"""How long a request is remembered that is not asked any more."""
CLEARED_REPORT_SECONDS = 10.0
"""How long others are told that a request is cleared."""
MIN_DOWNTIME_SECONDS = 1.0
"""Time after a break within which a target that answers again shows that it did not
crash: one that did is away for longer."""
SAME_CRASH_SECONDS = 0.5
"""Breaks of one target within this time are one crash, whoever saw them."""

DecisionCallback = Callable[[str, str, str], None]


class CrashTracker:
    """
    Keep strikes of requests by their digests; times are the runtime's seconds.

    ``told`` gets each decision: what, about which digest, and why.

    >>> book = CrashTracker()
    >>> for number in range(3):
    ...     book.note_crash("d", f"t-{number}", float(number), number + 0.1)
    >>> book.is_blocked("d", now=3.0)
    True
    """

    def __init__(self, on_decision: DecisionCallback | None = None) -> None:
        self.on_decision = on_decision or _log
        self.strikes: OrderedDict[str, list[Strike]] = OrderedDict()
        self.own: dict[str, list[Strike]] = {}
        self.harmless: OrderedDict[str, float] = OrderedDict()
        self.cleared: dict[str, float] = {}
        self.blocked: dict[str, float] = {}
        self.running: Counter[tuple[str, str]] = Counter()

    def is_blocked(self, digest: str, now: float) -> bool:
        """Tell whether a request is to be refused; it was asked now."""
        if digest not in self.blocked:
            return False
        self.blocked[digest] = now
        return True

    def crash_count(self, digest: str) -> int:
        """Return how many crashes a request was part of."""
        return count_sequential_crashes(self.strikes.get(digest, ()))

    def note_start(self, digest: str, target: str) -> None:
        """Note that a request is sent to a target."""
        self.running[target, digest] += 1

    def note_end(self, digest: str, target: str) -> None:
        """Note that a request has ended at a target."""
        self.running[target, digest] -= 1
        if not self.running[target, digest]:
            del self.running[target, digest]

    def suspect_targets(self) -> set[str]:
        """Return the targets at which a suspect runs: others keep away."""
        if not self.strikes:
            return set()
        return {target for target, digest in self.running if digest in self.strikes}

    def note_crash(self, digest: str, target: str, began: float, now: float) -> None:
        """Record that a target broke a request off before it answered anything."""
        if self._is_harmless(digest, now):
            return
        strike = Strike(target, began, now)
        self.own.setdefault(digest, []).append(strike)
        self._add(digest, strike, now, "seen here")

    def note_alive(self, target: str, sent: float) -> None:
        """Record an answer of a target to a request sent at some time."""
        wrong = [
            (digest, strike.ended)
            for digest, strikes in self.own.items()
            for strike in strikes
            if strike.target == target
            and strike.ended < sent < strike.ended + MIN_DOWNTIME_SECONDS
        ]
        for digest, at in wrong:
            self._withdraw(digest, target, at)

    def note_complete_response(self, digest: str, now: float) -> None:
        """Record that a request was answered whole, which clears it."""
        self._note_harmless(digest, now)
        if digest in self.strikes or digest in self.blocked:
            self.cleared[digest] = now
            self._clear(digest, "answered whole")

    def report(self, now: float) -> CrashWords:
        """
        Return what other entries are told.

        A strike is told once it cannot be withdrawn any more: nobody would hear that.
        """
        self._forget(now)
        told: dict[str, tuple[CrashStrike, ...]] = {}
        for digest, strikes in list(self.own.items())[-MAX_REPORTED:]:
            sure = [s for s in strikes if now - s.ended >= MIN_DOWNTIME_SECONDS]
            if sure:
                told[digest] = tuple(_told(strike, now) for strike in sure)
        return CrashWords(
            told,
            _ages(self.cleared, now),
            _ages(self.blocked, now),
        )

    def merge(self, source: str, words: CrashWords, now: float) -> None:
        """Take over what another entry says."""
        for digest, age in words.cleared.items():
            if self.harmless.get(digest, float("-inf")) < now - age:
                self._note_harmless(digest, now - age)
                self._clear(digest, f"{source} said so {age:.1f} s ago")
        for digest, strikes in words.strikes.items():
            for said in strikes:
                strike = Strike(said.target, now - said.began, now - said.ended)
                if not self._is_harmless(digest, strike.ended):
                    self._add(digest, strike, now, source)
        for digest, age in words.shut_out.items():
            if age < RETENTION_SECONDS and not self._is_harmless(digest, now):
                self._shut_out(digest, now - age, source)

    def _note_harmless(self, digest: str, at: float) -> None:
        """Remember that a request was answered whole at some time."""
        self.harmless[digest] = at
        self.harmless.move_to_end(digest)
        if len(self.harmless) > MAX_HARMLESS:
            self.harmless.popitem(last=False)

    def _is_harmless(self, digest: str, at: float) -> bool:
        """Tell whether a whole answer not long before some time clears a request."""
        harmless = self.harmless.get(digest)
        return harmless is not None and at - harmless < HARMLESS_SECONDS

    def _add(self, digest: str, strike: Strike, now: float, source: str) -> None:
        seen = self.strikes.setdefault(digest, [])
        if _at(seen, strike.target, strike.ended):
            return
        seen.append(strike)
        self.strikes.move_to_end(digest)
        number = count_sequential_crashes(seen)
        reason = f"{strike.target} crashed, {number} of {MAX_CRASHES}, {source}"
        self.on_decision("request-suspected", digest, reason)
        if number >= MAX_CRASHES:
            self._shut_out(digest, now, source)
        if len(self.strikes) > MAX_SUSPECTS:
            oldest, _ = self.strikes.popitem(last=False)
            self.own.pop(oldest, None)

    def _shut_out(self, digest: str, at: float, source: str) -> None:
        if digest not in self.blocked:
            self.on_decision(
                "request-shut-out", digest, f"it crashes its targets, {source}"
            )
        self.blocked[digest] = max(at, self.blocked.get(digest, at))

    def _withdraw(self, digest: str, target: str, at: float) -> None:
        """Take back a strike by a target that did not crash."""
        for kept in (self.own, self.strikes):
            seen = kept.get(digest, [])
            seen[:] = [strike for strike in seen if not _at([strike], target, at)]
        self.on_decision("suspicion-withdrawn", digest, f"{target} did not crash")
        self._drop_empty(digest)

    def _drop_empty(self, digest: str) -> None:
        for kept in (self.own, self.strikes):
            if digest in kept and not kept[digest]:
                del kept[digest]
        if digest in self.blocked and self.crash_count(digest) < MAX_CRASHES:
            del self.blocked[digest]

    def _clear(self, digest: str, reason: str) -> None:
        if digest in self.strikes or digest in self.blocked:
            self.on_decision("request-cleared", digest, reason)
        for kept in (self.strikes, self.own, self.blocked):
            kept.pop(digest, None)

    def _forget(self, now: float) -> None:
        for digest in [
            d for d, at in self.blocked.items() if now - at > RETENTION_SECONDS
        ]:
            self._clear(digest, f"not asked for {RETENTION_SECONDS:g} s")
        for digest, seen in list(self.strikes.items()):
            if digest not in self.blocked and now - seen[-1].ended > RETENTION_SECONDS:
                self._clear(digest, f"no crash for {RETENTION_SECONDS:g} s")
        for digest, at in list(self.cleared.items()):
            if now - at > CLEARED_REPORT_SECONDS:
                del self.cleared[digest]


def _at(seen: list[Strike], target: str, at: float) -> bool:
    """Tell whether a crash of a target at some time is among those seen."""
    return any(
        s.target == target and abs(s.ended - at) < SAME_CRASH_SECONDS for s in seen
    )


def _told(strike: Strike, now: float) -> CrashStrike:
    began, ended = round(now - strike.began, 3), round(now - strike.ended, 3)
    return CrashStrike(strike.target, began, ended)


def _ages(times: dict[str, float], now: float) -> dict[str, float]:
    newest = sorted(times.items(), key=lambda pair: pair[1])[-MAX_REPORTED:]
    return {digest: round(now - at, 3) for digest, at in newest}


def _log(decision: str, digest: str, reason: str) -> None:
    logger.info("crashes: {} {}: {}", decision, digest, reason)
