"""What an entry knows of the limits that targets name."""

from collections.abc import Container, Mapping
from dataclasses import dataclass

from loguru import logger

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.direct.read_limit import read_limit
from briarthread_common.messages.limit_word import LimitWord

ENDED_REPORT_SECONDS = 10.0
"""How long others are told that a limit has ended: all of them hear of it within
one second, and one that was cut off for longer learns it from its own answers."""


@dataclass(frozen=True, slots=True)
class KnownLimit:
    """Hold a limit, ``None`` for one that ended, and when it was said."""

    per_second: float | None
    at: float


class TargetLimits:
    """
    Keep the newest word on each target's limit; times are the runtime's seconds.

    A limit holds from the answer that names it to the first answer without it to a
    request that was sent later. So an answer that was under way when the limit came
    does not end it. An entry tells others only what its own answers said: a word that
    came back by way of others would look newer each time.

    >>> limits = TargetLimits()
    >>> limits.note_response("t-1", "2", sent=1.0, now=1.2)
    >>> limits.note_response("t-1", None, sent=1.1, now=1.3)
    >>> limits.limit_of("t-1")
    2.0
    >>> limits.note_response("t-1", None, sent=1.4, now=1.5)
    >>> limits.limit_of("t-1") is None
    True
    """

    def __init__(self) -> None:
        self.known: dict[str, KnownLimit] = {}
        self.own: dict[str, KnownLimit] = {}

    def limit_of(self, target: str) -> float | None:
        """Return how many requests a second a target takes, ``None`` for any."""
        known = self.known.get(target)
        return None if known is None else known.per_second

    def note_response(
        self, target: str, raw: str | None, sent: float, now: float
    ) -> None:
        """Record what an answer, which came now, says of its target's limit."""
        if raw is None and self.limit_of(target) is None:
            return
        try:
            limit = read_limit(raw)
        except DecodeError as error:
            logger.warning("limits: kept what was known of {}: {}", target, error)
            return
        word = KnownLimit(limit, sent if limit is None else now)
        if self._take_over(target, word, "its answer"):
            self.own[target] = word

    def merge(self, source: str, words: Mapping[str, LimitWord], now: float) -> None:
        """Take over what another entry heard."""
        for target, word in words.items():
            self._take_over(target, KnownLimit(word.per_second, now - word.age), source)

    def report(self, now: float) -> dict[str, LimitWord]:
        """Return what other entries are told."""
        return {
            target: LimitWord(own.per_second, round(now - own.at, 3))
            for target, own in self.own.items()
            if own.per_second is not None or now - own.at < ENDED_REPORT_SECONDS
        }

    def latest(self, target: str, now: float) -> LimitWord | None:
        """Return the newest word on one target."""
        known = self.known.get(target)
        return known and LimitWord(known.per_second, now - known.at)

    def retain(self, targets: Container[str]) -> None:
        """Forget all targets but some."""
        for kept in (self.known, self.own):
            for target in [name for name in kept if name not in targets]:
                del kept[target]

    def _take_over(self, target: str, word: KnownLimit, source: str) -> bool:
        known = self.known.get(target)
        if known is not None and word.at <= known.at:
            return False
        if known is None and word.per_second is None:
            return False
        self.known[target] = word
        before = None if known is None else known.per_second
        if word.per_second != before:
            _log_change(target, word.per_second, source)
            self.own.pop(target, None)
        return True


def _log_change(target: str, limit: float | None, source: str) -> None:
    if limit is None:
        logger.info("limits: {} names none any more, says {}", target, source)
    else:
        logger.info("limits: {} takes {:g} a second, says {}", target, limit, source)
