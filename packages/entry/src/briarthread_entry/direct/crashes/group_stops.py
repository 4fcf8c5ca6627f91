"""When a lock-step group made no passes."""

from collections.abc import Iterable
from dataclasses import dataclass

from briarthread_common.messages.group_stop_report import GroupStopReport

GROUP_STALL_SECONDS = 1.2
"""Time in seconds that the ranks of a group wait at least for a lost one. Only then do
they drop their connections, and refuse what they had not begun."""
MAX_STALL_SECONDS = 2.0
"""Time in seconds that they wait at most."""
WAITED_SECONDS = 0.2
"""Time in seconds after which a refusal shows that the rank was still waiting for the
lost one as the request arrived. Afterwards a rank refuses in a few milliseconds."""
MIN_OUTAGE_SECONDS = 2.0
"""Shortest time in seconds between the stop of a group and its next pass: the lost rank
has to start again first."""
RETENTION_SECONDS = 10.0
"""Time in seconds for which the end of a stop is kept and reported."""
REPORT_DELAY_SECONDS = 0.05
"""Time in seconds by which the stops that other entries report may seem too late."""


@dataclass(slots=True)
class GroupStop:
    """
    A time without passes, from ``since`` to ``until`` at least.

    By ``refused_at`` all ranks but the lost ones refuse requests; ``last_event`` is
    when the group last made a pass, as far as this entry has seen. Times are in seconds
    on the event loop's clock.
    """

    since: float
    until: float
    refused_at: float
    last_event: float = float("-inf")

    def covers(self, at: float) -> bool:
        """Return whether the group certainly made no passes at some time."""
        return self.since < at <= self.until


class GroupStops:
    """
    Keep when a group made no passes, as the refusals of its ranks show.

    A refusal shows that the group had stopped a stall before. One that came after a
    wait also shows that a rank was lost a stall before, and the group makes no pass
    until that rank has started again. An event shows that it makes passes.

    >>> stops = GroupStops()
    >>> stop = stops.note_refusal(sent=4.0, now=5.5)
    >>> round(stop.since, 3), round(stop.until, 3)
    (4.3, 6.3)
    >>> stops.is_stopped(4.1), stops.is_stopped(5.0), stops.is_stopped(7.0)
    (False, True, False)
    >>> stops.note_refusal(sent=7.4, now=7.4) is stop
    True
    >>> stops.note_event(now=8.5)
    >>> stops.note_refusal(sent=9.0, now=9.0) is stop
    False
    """

    def __init__(self) -> None:
        self.own: list[GroupStop] = []
        self.reported: list[GroupStop] = []
        self.last_event = float("-inf")

    def note_event(self, now: float) -> None:
        """Record that a rank sent an event of a stream."""
        self.last_event = now
        for stop in self.own:
            if stop.since < now:
                stop.until = min(stop.until, now)

    def note_refusal(self, sent: float, now: float) -> GroupStop:
        """Record that a rank refused a request; return the stop that this shows."""
        self.drop_expired(now)
        since, until = max(now - GROUP_STALL_SECONDS, self.last_event), now
        if now - sent >= WAITED_SECONDS:
            until = max(now, since + MIN_OUTAGE_SECONDS)
        stop = self.own[-1] if self.own else None
        if stop is None or since > stop.until or self.last_event > stop.since:
            stop = GroupStop(since, until, now, self.last_event)
            self.own.append(stop)
        stop.until = max(stop.until, until)
        return stop

    def known(self) -> list[GroupStop]:
        """Return all known stops, the oldest first."""
        return sorted((*self.own, *self.reported), key=_since)

    def is_stopped(self, at: float) -> bool:
        """Return whether the group certainly made no passes at some time."""
        return any(stop.covers(at) for stop in (*self.own, *self.reported))

    def began_at(self, stop: GroupStop) -> float:
        """Return since when the group has certainly made no passes until a stop."""
        since = stop.since
        for other in reversed(self.known()):
            if other.since < since <= other.until:
                since = max(other.since, stop.last_event)
        return since

    def merge(self, reports: Iterable[GroupStopReport], now: float) -> None:
        """Merge what another entry reports."""
        for one in reports:
            until = now - one.until - REPORT_DELAY_SECONDS
            self._add_reported(now - one.since, until)
        self.drop_expired(now)

    def report(self, now: float) -> tuple[GroupStopReport, ...]:
        """Return what this entry itself has seen."""
        self.drop_expired(now)
        return tuple(
            GroupStopReport(round(now - stop.since, 3), round(now - stop.until, 3))
            for stop in self.own
        )

    def drop_expired(self, now: float) -> None:
        """Forget what ended long ago."""
        for stops in (self.own, self.reported):
            stops[:] = [s for s in stops if now - s.until < RETENTION_SECONDS]

    def _add_reported(self, since: float, until: float) -> None:
        """Add a stop; those that overlap become one."""
        apart = []
        for stop in self.reported:
            if stop.since <= until and since <= stop.until:
                since, until = min(since, stop.since), max(until, stop.until)
            else:
                apart.append(stop)
        self.reported = [*apart, GroupStop(since, until, since + MAX_STALL_SECONDS)]


def _since(stop: GroupStop) -> float:
    return stop.since
