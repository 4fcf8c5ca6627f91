"""
The dealing of a target's limit to all entries.

It answers a target in need that names how few requests a second it takes from all
entries together. Parts of the limit for each entry go wrong at size: each needs room
for one request at least, which at hundreds of entries is many times the limit. So one
entry deals the whole limit, one request at a time, to whoever asks; see issuer_order
for which one, and for what others deal in its place.
"""

from collections.abc import Container
from dataclasses import dataclass, field

from briarthread_common.messages.token_messages import TokenAnswer

BURST_TOKENS = 2.0
"""Requests that a target which was left alone for a while may get at once. With more,
the first dealer and one in its place could together exceed what a limit allows over
some seconds."""
MIN_RETRY_SECONDS = 0.05
"""Least time, s, after which one who was turned away may ask again."""
MAX_REQUESTS_PER_SECOND = 40.0
"""Asks about one target that a dealer wants to get: a small part of a core."""
REQUESTER_SECONDS = 5.0
"""How long one who asked is counted among those who want room."""


@dataclass(slots=True)
class _Bucket:
    tokens: float
    at: float
    askers: dict[str, float] = field(default_factory=dict)


class TokenIssuer:
    """
    Deal the limits of targets; times are the runtime's seconds.

    A limit that is dealt for the first time starts with nothing, so that a dealer
    which takes over, or starts again, adds nothing to what was dealt before it.

    >>> issuer = TokenIssuer()
    >>> issuer.issue("entry-1", "t-1", 2.0, wait=0.0, now=10.0)
    TokenAnswer(granted=False, pause=0.5, word=None)
    >>> issuer.issue("entry-1", "t-1", 2.0, wait=0.2, now=10.4)
    TokenAnswer(granted=True, pause=0.1, word=None)
    """

    def __init__(self) -> None:
        self.buckets: dict[str, _Bucket] = {}

    def issue(
        self, asker: str, target: str, rate: float, wait: float, now: float
    ) -> TokenAnswer:
        """
        Grant an attempt within ``wait`` seconds, or say when to ask again.

        ``rate`` is what is dealt a second. What is granted for later is taken at once,
        so that those who wait are served in the order in which they asked.
        """
        dealt = self.buckets.setdefault(target, _Bucket(0.0, now))
        dealt.tokens = min(BURST_TOKENS, dealt.tokens + (now - dealt.at) * rate)
        dealt.at = now
        pause = round(max(1.0 - dealt.tokens, 0.0) / rate, 6)
        if pause <= wait:
            dealt.tokens -= 1.0
            return TokenAnswer(True, pause)
        dealt.askers[asker] = now
        return TokenAnswer(
            False, max(pause, _spread(dealt, rate, now), MIN_RETRY_SECONDS)
        )

    def retain(self, targets: Container[str]) -> None:
        """Forget all targets but some."""
        self.buckets = {name: d for name, d in self.buckets.items() if name in targets}


def _spread(dealt: _Bucket, rate: float, now: float) -> float:
    """Return the pause in which all who ask make no more asks than are wanted."""
    since = now - REQUESTER_SECONDS
    dealt.askers = {name: at for name, at in dealt.askers.items() if at > since}
    return len(dealt.askers) / max(MAX_REQUESTS_PER_SECOND, 2 * rate)
