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

YIELDED_SHARE = 0.1
"""Part of the room that callers who come back leave to new ones."""
EARLIEST_RETURN = 0.3
"""Seconds before which a refused caller finds nothing changed: some passes."""
HONOURED_SHARE = 1 / 3
"""Part of the time left within which callers come back as told."""
LATE_SHARE = 0.85
"""Part of the time that callers honour from which on they come back to a group
that is away for longer; the rest spreads them."""

LATE_SPREAD = 0.1
"""Minimum spread of returns after a backoff, as a fraction of the time to its end."""


@dataclass(frozen=True, slots=True)
class Start:
    """The request may be sent now."""


@dataclass(frozen=True, slots=True)
class WaitForRoom:
    """There is no room yet, and still time to wait for it."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request gets its final answer now; ``retry_after`` in seconds."""

    kind: ErrorKind
    reason: str
    retry_after: float


Decision = Start | WaitForRoom | Refuse


@dataclass(frozen=True, slots=True)
class GroupRoom:
    """
    State what a group has room for.

    ``most`` and ``running`` count requests over all entries. ``back_in`` is
    in how many seconds a group that is not serving is expected back. ``opens_in`` is in
    how many seconds the first rank accepts requests, 0.0 if one does already.
    """

    serving: bool
    running: int
    most: int
    back_in: float = 0.0
    opens_in: float = 0.0

    @property
    def free(self) -> int:
        """Return how many more requests there is room for."""
        return max(self.most - self.running, 0)


def decide(
    room: GroupRoom, returning: bool, wait_left: float, time_left: float, pick: float
) -> Decision:
    """
    Return what becomes of a request now.

    ``wait_left`` is how long it may still wait for room, ``time_left`` how
    long its caller waits; ``pick`` from 0 to 1 spreads the returns.

    >>> decide(GroupRoom(True, 40, 60), False, 0.2, 8.0, 0.5)
    Start()
    >>> decide(GroupRoom(True, 58, 60), True, 0.2, 5.0, 0.5)
    WaitForRoom()
    >>> decide(GroupRoom(True, 60, 60), False, 0.0, 8.1, 0.5).retry_after
    1.5
    >>> decide(GroupRoom(False, 0, 60, back_in=1.2), True, 1.8, 5.0, 0.5)
    WaitForRoom()
    >>> decide(GroupRoom(True, 0, 0, opens_in=2.0), False, 0.2, 9.0, 0.0).retry_after
    2.0
    """
    if not room.serving:
        if room.back_in <= wait_left:
            return WaitForRoom()
        pause = return_to_group(time_left, room.back_in, pick)
        return Refuse(ErrorKind.GROUP_BROKEN, "the group is not serving", pause)
    if room.opens_in > 0:
        return _decide_in_backoff(room.opens_in, wait_left, time_left, pick)
    if room.running < _limit(room, returning):
        return Start()
    if wait_left > 0:
        return WaitForRoom()
    reason = f"{room.running} running, room for {room.most}"
    return Refuse(ErrorKind.OVERLOADED, reason, spread_return(time_left, pick))


def _decide_in_backoff(
    opens_in: float, wait_left: float, time_left: float, pick: float
) -> Decision:
    """Return the decision on a request to a group whose ranks all back off."""
    if opens_in <= wait_left:
        return WaitForRoom()
    pause = return_when_open(time_left, opens_in, pick)
    return Refuse(ErrorKind.TARGETS_BACKING_OFF, "all ranks are backing off", pause)


def spread_return(time_left: float, pick: float) -> float:
    """Return when to come back, spread over all that callers honour."""
    latest = max(time_left, 0.0) * HONOURED_SHARE
    earliest = min(EARLIEST_RETURN, latest)
    return earliest + (latest - earliest) * pick


def return_to_group(time_left: float, back_in: float, pick: float) -> float:
    """
    Return when to come back to a group that is expected back in some time.

    >>> return_to_group(6.0, 0.5, 0.0), return_to_group(6.0, 4.0, 0.0)
    (0.5, 1.7)
    """
    latest = max(time_left, 0.0) * HONOURED_SHARE
    earliest = min(back_in, latest * LATE_SHARE)
    return earliest + (latest - earliest) * pick


def return_when_open(time_left: float, opens_in: float, pick: float) -> float:
    """
    Return when to come back to targets of which the first opens in ``opens_in`` s.

    The result is never below ``opens_in``, even if callers do not honour that long a
    time, since an earlier return would be refused again.

    >>> return_when_open(9.0, 1.0, 0.5), return_when_open(6.0, 4.0, 0.0)
    (2.0, 4.0)
    """
    latest = max(time_left, 0.0) * HONOURED_SHARE
    return opens_in + max(latest - opens_in, opens_in * LATE_SPREAD) * pick


def _limit(room: GroupRoom, returning: bool) -> float:
    return room.most * (1 - YIELDED_SHARE) if returning else room.most


def return_after(kind: ErrorKind, time_left: float, pick: float) -> float:
    """
    Return when a caller is to come back after a refusal of some kind.

    >>> return_after(ErrorKind.GROUP_BROKEN, 6.0, 1.0)
    2.0
    """
    if kind is ErrorKind.GROUP_BROKEN:
        return return_to_group(time_left, math.inf, pick)
    return spread_return(time_left, pick)
