"""
Token buckets for the rate limits of targets.

An overloaded target states how many requests per second it accepts from all entries
together. Dividing the limit among the entries fails in large deployments: each entry
needs room for at least one request, and with hundreds of entries that is many times the
limit. Instead, one entry issues the tokens of the whole limit, one per request, to the
entries that ask. See issuer_order for how it is selected and what other entries may
issue in its place.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from briarthread_common.messages.token_messages import TokenAnswer
from briarthread_entry.limits.token_bucket import TokenBucket

BURST_TOKENS = 2.0
"""Capacity of a bucket: requests that an idle target may get at once. With a larger
value, the first issuer and its substitute could together exceed the limit over a few
seconds."""
MIN_RETRY_SECONDS = 0.05
"""Minimum delay in seconds before a denied entry may ask again."""
MAX_TOKEN_REQUESTS_PER_SECOND = 40.0
"""Token requests per second and target that an issuer accepts; they take a small
fraction of a core."""
REQUESTER_SECONDS = 5.0
"""Time in seconds for which a denied entry counts as a requester."""
MAX_LEAD = 1
"""Tokens by which an entry may be ahead of one that was denied. A token that is left to
another entry is not used until that one asks again."""


@dataclass(slots=True)
class _Bucket(TokenBucket):
    """A bucket with the last denial and the grants of each requester of late."""

    requesters: dict[str, float] = field(default_factory=dict)
    grants: dict[str, list[float]] = field(default_factory=dict)

    def drop_expired(self, now: float) -> None:
        """Forget what is older than REQUESTER_SECONDS."""
        since = now - REQUESTER_SECONDS
        self.requesters = {n: at for n, at in self.requesters.items() if at > since}
        self.grants = {
            name: recent
            for name, times in self.grants.items()
            if (recent := [at for at in times if at > since])
        }

    def owes_another(self, requester: str) -> bool:
        """Return whether a denied requester has been granted clearly less."""
        granted = len(self.grants.get(requester, ()))
        return any(
            len(self.grants.get(other, ())) + MAX_LEAD < granted
            for other in self.requesters
            if other != requester
        )


class TokenIssuer:
    """
    Issue tokens for the rate limits of targets.

    Times are in seconds on the event loop's clock. A new bucket is empty, so that an
    issuer that takes over or restarts adds nothing to what was issued before.

    >>> issuer = TokenIssuer()
    >>> issuer.issue("entry-1", "t-1", 2.0, wait=0.0, now=10.0)
    TokenAnswer(granted=False, pause=0.5, word=None, cold_left=0.0)
    >>> issuer.issue("entry-1", "t-1", 2.0, wait=0.2, now=10.4)
    TokenAnswer(granted=True, pause=0.1, word=None, cold_left=0.0)
    """

    def __init__(self) -> None:
        self.buckets: dict[str, _Bucket] = {}

    def issue(
        self, requester: str, target: str, rate: float, wait: float, now: float
    ) -> TokenAnswer:
        """
        Grant a token within ``wait`` seconds, or return when to ask again.

        ``rate`` is the number of tokens per second. A token that becomes available
        later is taken immediately, so waiting requests are served in order of arrival.
        While the bucket is not full, a requester leaves a token to others that were
        denied and have been granted clearly less of late.
        """
        bucket = self.buckets.setdefault(target, _Bucket(now))
        bucket.refill(rate, BURST_TOKENS, now)
        bucket.drop_expired(now)
        pause = round(bucket.pause(rate), 6)
        is_reserved = bucket.tokens < BURST_TOKENS and bucket.owes_another(requester)
        if pause <= wait and not is_reserved:
            bucket.tokens -= 1.0
            bucket.requesters.pop(requester, None)
            bucket.grants.setdefault(requester, []).append(now)
            return TokenAnswer(True, pause)
        bucket.requesters[requester] = now
        return TokenAnswer(
            False, max(pause, _denied_pause(bucket, rate), MIN_RETRY_SECONDS)
        )

    def retain(self, targets: Container[str]) -> None:
        """Remove the buckets of all targets except the given ones."""
        self.buckets = {
            name: bucket for name, bucket in self.buckets.items() if name in targets
        }

    def discard(self, targets: Iterable[str]) -> None:
        """Remove the buckets of the given targets."""
        for target in targets:
            self.buckets.pop(target, None)


def _denied_pause(bucket: _Bucket, rate: float) -> float:
    """Return the pause that keeps the rate of token requests within its limit."""
    return len(bucket.requesters) / max(MAX_TOKEN_REQUESTS_PER_SECOND, 2 * rate)
