"""
The rule by which a request to a lock-step group starts, waits or is refused.

It answers a load above what the group can do in time, with callers who come
back once when they are refused. Room goes to new callers first: they can still
be served in time, while one who comes back is late already; the other way round
nearly every answer is late.

One who comes back has no other try, and is late in any case. So it waits for a
group that is away, if that is expected back before the caller would leave.
"""

import math
from dataclasses import dataclass

from briarthread_common.core.error_kind import ErrorKind

NEW_CALLER_RESERVE = 0.1
"""Part of the room that callers who come back leave to new ones."""
MIN_RETRY_AFTER_SECONDS = 0.3
"""Seconds before which a refused caller finds nothing changed: some passes."""
HONOURED_FRACTION = 1 / 3
"""Part of the time left within which callers come back as told."""
OUTAGE_RETRY_FRACTION = 0.85
"""Part of the time that callers honour from which on they come back to a group
that is away for longer; the rest spreads them."""

MIN_BACKOFF_JITTER = 0.1
"""Minimum spread of returns after a backoff, as a fraction of the time to its end."""


@dataclass(frozen=True, slots=True)
class Start:
    """The request may be sent now."""


@dataclass(frozen=True, slots=True)
class WaitForCapacity:
    """There is no room yet, and still time to wait for it."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request gets its final answer now; ``retry_after`` in seconds."""

    kind: ErrorKind
    reason: str
    retry_after: float


Decision = Start | WaitForCapacity | Refuse


@dataclass(frozen=True, slots=True)
class GroupCapacity:
    """
    State what a group has room for.

    ``limit`` and ``running`` count requests over all entries. ``recovers_in`` is
    in how many seconds a group that is not serving is expected back. ``opens_in`` is in
    how many seconds the first rank accepts requests, 0.0 if one does already.
    """

    serving: bool
    running: int
    limit: int
    recovers_in: float = 0.0
    opens_in: float = 0.0

    @property
    def free(self) -> int:
        """Return how many more requests there is room for."""
        return max(self.limit - self.running, 0)


def decide_admission(
    capacity: GroupCapacity,
    is_client_retry: bool,
    wait_left: float,
    time_left: float,
    jitter: float,
) -> Decision:
    """
    Return what becomes of a request now.

    ``wait_left`` is how long it may still wait for room, ``time_left`` how
    long its caller waits; ``jitter`` from 0 to 1 spreads the returns.

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
    if not capacity.serving:
        if capacity.recovers_in <= wait_left:
            return WaitForCapacity()
        pause = retry_after_outage(time_left, capacity.recovers_in, jitter)
        return Refuse(ErrorKind.GROUP_BROKEN, "the group is not serving", pause)
    if capacity.opens_in > 0:
        return _decide_in_backoff(capacity.opens_in, wait_left, time_left, jitter)
    if capacity.running < _limit(capacity, is_client_retry):
        return Start()
    if wait_left > 0:
        return WaitForCapacity()
    reason = f"{capacity.running} running, room for {capacity.limit}"
    return Refuse(ErrorKind.OVERLOADED, reason, spread_retry_after(time_left, jitter))


def _decide_in_backoff(
    opens_in: float, wait_left: float, time_left: float, jitter: float
) -> Decision:
    """Return the decision on a request to a group whose ranks all back off."""
    if opens_in <= wait_left:
        return WaitForCapacity()
    pause = retry_after_backoff(time_left, opens_in, jitter)
    return Refuse(ErrorKind.TARGETS_BACKING_OFF, "all ranks are backing off", pause)


def spread_retry_after(time_left: float, jitter: float) -> float:
    """Return when to come back, spread over all that callers honour."""
    latest = max(time_left, 0.0) * HONOURED_FRACTION
    earliest = min(MIN_RETRY_AFTER_SECONDS, latest)
    return earliest + (latest - earliest) * jitter


def retry_after_outage(time_left: float, recovers_in: float, jitter: float) -> float:
    """
    Return when to come back to a group that is expected back in some time.

    >>> retry_after_outage(6.0, 0.5, 0.0), retry_after_outage(6.0, 4.0, 0.0)
    (0.5, 1.7)
    """
    latest = max(time_left, 0.0) * HONOURED_FRACTION
    earliest = min(recovers_in, latest * OUTAGE_RETRY_FRACTION)
    return earliest + (latest - earliest) * jitter


def retry_after_backoff(time_left: float, opens_in: float, jitter: float) -> float:
    """
    Return when to come back to targets of which the first opens in ``opens_in`` s.

    The result is never below ``opens_in``, even if callers do not honour that long a
    time, since an earlier return would be refused again.

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
    Return when a caller is to come back after a refusal of some kind.

    >>> retry_after_refusal(ErrorKind.GROUP_BROKEN, 6.0, 1.0)
    2.0
    """
    if kind is ErrorKind.GROUP_BROKEN:
        return retry_after_outage(time_left, math.inf, jitter)
    return spread_retry_after(time_left, jitter)
