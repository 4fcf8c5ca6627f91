"""
Rule that decides whether a request to a lock-step group starts, waits or is refused.

It handles a load above the group's capacity, from callers that retry once after a
refusal. New requests have precedence, since they can still be served in time, while
a client retry is late already. With the opposite precedence nearly every response
would be late.

A client retry is the caller's last attempt and late in any case. It therefore waits
for a group that is not serving if the group is expected to recover before the caller
gives up.
"""

import math
from dataclasses import dataclass

from briarthread_common.core.error_kind import ErrorKind

NEW_CALLER_RESERVE = 0.1
"""Fraction of the capacity that is reserved for new requests."""
MIN_RETRY_AFTER_SECONDS = 0.3
"""Minimum delay of a client retry, about a few passes: earlier nothing has changed."""
HONOURED_FRACTION = 1 / 3
"""Longest Retry-After that callers honour, as a fraction of their remaining time."""
OUTAGE_RETRY_FRACTION = 0.85
"""Earliest client retry during an outage that outlasts the honoured Retry-After.

It is a fraction of the longest honoured Retry-After; retries are spread over the rest.
"""
MIN_BACKOFF_JITTER = 0.1
"""Minimum spread of client retries after a backoff, as a fraction of its remainder."""


@dataclass(frozen=True, slots=True)
class Start:
    """The request starts now."""


@dataclass(frozen=True, slots=True)
class WaitForCapacity:
    """No capacity is free, and there is still time to wait for it."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused now; ``retry_after`` is in seconds."""

    kind: ErrorKind
    reason: str
    retry_after: float


Decision = Start | WaitForCapacity | Refuse


@dataclass(frozen=True, slots=True)
class GroupCapacity:
    """
    Describe the capacity of a group.

    ``limit`` and ``running`` count the requests of all entries. ``recovers_in`` is
    the expected number of seconds until a group that is not serving recovers.
    ``opens_in`` is the number of seconds until the first rank accepts requests,
    0.0 if one does already.
    """

    serving: bool
    running: int
    limit: int
    recovers_in: float = 0.0
    opens_in: float = 0.0

    @property
    def free(self) -> int:
        """Return how many more requests may run."""
        return max(self.limit - self.running, 0)


def decide_admission(
    capacity: GroupCapacity,
    is_client_retry: bool,
    wait_left: float,
    time_left: float,
    jitter: float,
) -> Decision:
    """
    Decide whether a request starts, waits or is refused now.

    ``wait_left`` is how long it may still wait for capacity and ``time_left`` how
    long its caller still waits, both in seconds. ``jitter``, from 0 to 1, spreads the
    client retries.

    >>> decide_admission(GroupCapacity(True, 40, 60), False, 0.2, 8.0, 0.5)
    Start()
    >>> decide_admission(GroupCapacity(True, 58, 60), True, 0.2, 5.0, 0.5)
    WaitForCapacity()
    >>> decide_admission(GroupCapacity(True, 60, 60), False, 0.0, 8.1, 0.5).retry_after
    1.5
    >>> broken = GroupCapacity(False, 0, 60, recovers_in=1.2)
    >>> decide_admission(broken, True, 1.8, 5.0, 0.5)
    WaitForCapacity()
    >>> in_backoff = GroupCapacity(True, 0, 0, opens_in=2.0)
    >>> decide_admission(in_backoff, False, 0.2, 9.0, 0.0).retry_after
    2.0
    """
    unavailable = decide_unavailable(capacity, wait_left, time_left, jitter)
    if unavailable is not None:
        return unavailable
    if capacity.running < _limit(capacity, is_client_retry):
        return Start()
    if wait_left > 0:
        return WaitForCapacity()
    reason = f"{capacity.running} requests running, limit {capacity.limit}"
    return Refuse(ErrorKind.OVERLOADED, reason, spread_retry_after(time_left, jitter))


def decide_unavailable(
    capacity: GroupCapacity, wait_left: float, time_left: float, jitter: float
) -> Decision | None:
    """Decide on a request to a group that accepts none now, ``None`` if it does."""
    if not capacity.serving:
        if capacity.recovers_in <= wait_left:
            return WaitForCapacity()
        pause = retry_after_outage(time_left, capacity.recovers_in, jitter)
        return Refuse(ErrorKind.GROUP_BROKEN, "the group is not serving", pause)
    if capacity.opens_in > 0:
        return _decide_in_backoff(capacity.opens_in, wait_left, time_left, jitter)
    return None


def _decide_in_backoff(
    opens_in: float, wait_left: float, time_left: float, jitter: float
) -> Decision:
    """Decide on a request to a group whose ranks are all in backoff."""
    if opens_in <= wait_left:
        return WaitForCapacity()
    pause = retry_after_backoff(time_left, opens_in, jitter)
    return Refuse(ErrorKind.TARGETS_BACKING_OFF, "all ranks are backing off", pause)


def spread_retry_after(time_left: float, jitter: float) -> float:
    """Return a Retry-After in seconds, spread over the time that callers honour."""
    latest = max(time_left, 0.0) * HONOURED_FRACTION
    earliest = min(MIN_RETRY_AFTER_SECONDS, latest)
    return earliest + (latest - earliest) * jitter


def retry_after_outage(time_left: float, recovers_in: float, jitter: float) -> float:
    """
    Return the Retry-After, in seconds, for a group that recovers in ``recovers_in`` s.

    >>> retry_after_outage(6.0, 0.5, 0.0), retry_after_outage(6.0, 4.0, 0.0)
    (0.5, 1.7)
    """
    latest = max(time_left, 0.0) * HONOURED_FRACTION
    earliest = min(recovers_in, latest * OUTAGE_RETRY_FRACTION)
    return earliest + (latest - earliest) * jitter


def retry_after_backoff(time_left: float, opens_in: float, jitter: float) -> float:
    """
    Return the Retry-After, in seconds, if the first target opens in ``opens_in`` s.

    The result is never below ``opens_in``, even if callers do not honour that long a
    time, since an earlier retry would be refused again.

    >>> retry_after_backoff(9.0, 1.0, 0.5), retry_after_backoff(6.0, 4.0, 0.0)
    (2.0, 4.0)
    """
    latest = max(time_left, 0.0) * HONOURED_FRACTION
    return opens_in + max(latest - opens_in, opens_in * MIN_BACKOFF_JITTER) * jitter


def _limit(capacity: GroupCapacity, is_client_retry: bool) -> float:
    return (
        capacity.limit * (1 - NEW_CALLER_RESERVE) if is_client_retry else capacity.limit
    )


def retry_after_refusal(kind: ErrorKind, time_left: float, jitter: float) -> float:
    """
    Return the Retry-After, in seconds, of a refusal of some kind.

    >>> retry_after_refusal(ErrorKind.GROUP_BROKEN, 6.0, 1.0)
    2.0
    """
    if kind is ErrorKind.GROUP_BROKEN:
        return retry_after_outage(time_left, math.inf, jitter)
    return spread_retry_after(time_left, jitter)
