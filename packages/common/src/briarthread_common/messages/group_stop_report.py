"""Report that a lock-step group made no passes."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GroupStopReport:
    """
    A time in which a group made no passes.

    ``since`` is how many seconds ago it began, ``until`` how many seconds ago it ended
    at the earliest, negative if it goes on.
    """

    since: float
    until: float

    def aged(self, seconds: float) -> "GroupStopReport":
        """Return a copy that is ``seconds`` older."""
        return GroupStopReport(self.since + seconds, self.until + seconds)


def join_stops(stops: Iterable[GroupStopReport]) -> tuple[GroupStopReport, ...]:
    """
    Return the stops with those that overlap made one, the oldest first.

    >>> join_stops([GroupStopReport(2.0, 0.5), GroupStopReport(9.0, 1.5)])
    (GroupStopReport(since=9.0, until=0.5),)
    """
    joined: list[GroupStopReport] = []
    for stop in sorted(stops, key=_since, reverse=True):
        if joined and stop.since >= joined[-1].until:
            until = min(stop.until, joined[-1].until)
            joined[-1] = GroupStopReport(joined[-1].since, until)
        else:
            joined.append(stop)
    return tuple(joined)


def _since(stop: GroupStopReport) -> float:
    return stop.since
