"""
What a rank of a lock-step group shows that falls silent or drops a connection.

A rank that falls silent ends no connection, and all others stop with it. What shows
its crash is that they refuse requests, with the name of a rank at fault, and that it
does not drop its connections as they do. The load that this answers: ranks that crash
one after the other, because of one prompt or for any other cause, while their group
hardly makes a pass.

Suspected is what may have been executed when the group stopped. A request that was sent
while the group made no passes has crashed no rank, however long it stays unanswered. A
rank that is lost until the group makes passes again is dated to the stop of the group:
the crashes of one outage are not successive.
"""

from dataclasses import dataclass

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.crashes.group_stops import GROUP_STALL_SECONDS, GroupStop
from briarthread_entry.direct.crashes.known_stops import KnownStops
from briarthread_entry.direct.crashes.rank_run import RankRun
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.responses.response_relay import ResponseRelay

MIN_SILENT_SECONDS = 0.5
"""Time in seconds without a byte from which a run that ends may be one at a rank that
has fallen silent. A rank answers in each pass, several times a second."""
CUT_SECONDS = 0.2
"""Time in seconds after the first refusal of a group by which its ranks have dropped
their connections, apart from those that have fallen silent."""
LOST_SECONDS = 2.2
"""Time in seconds without a byte after which a lost connection is one to a rank that
had fallen silent. One that waits for another rank drops its connections sooner."""
RETENTION_SECONDS = 6.0
"""Time in seconds for which a run that has ended is kept. Its group names the rank at
fault after a second or two, in the answer to the entry's next request."""


@dataclass(frozen=True, slots=True)
class RankCrash:
    """
    A run that may have crashed its rank.

    ``at`` is the time of the crash in seconds on the event loop's clock, an estimate if
    the rank fell ``silent``.
    """

    run: RankRun
    at: float
    silent: bool = True


class SilentRanks:
    """
    Decide which runs are suspected when ranks fall silent or drop connections.

    Each run is returned once. ``named`` holds the ranks that each group has named as
    lost since it last made a pass.
    """

    def __init__(self, stops: KnownStops) -> None:
        self.stops = stops
        self.runs: list[RankRun] = []
        self.named: dict[GroupId, set[str]] = {}

    def start(
        self,
        request: DirectRequest,
        target: DirectTarget,
        group: GroupId,
        began: float,
        relay: ResponseRelay,
    ) -> RankRun:
        """Record that a request is being sent to a rank."""
        run = RankRun(request, target, group, began, relay)
        self.runs.append(run)
        return run

    def end(self, run: RankRun, now: float) -> None:
        """Record the end of a run; forget it unless the rank was silent."""
        run.end(now)
        was_silent = now - run.last_received_at() >= MIN_SILENT_SECONDS
        if not (was_silent and run.is_unproven()):
            self._discard(run)

    def note_event(self, group: GroupId, now: float) -> list[RankCrash]:
        """Record a pass of a group; return the crashes of ranks that missed it."""
        self.stops.of(group).note_event(now)
        if group not in self.named:
            return []
        found = self._take_crashes(group, now)
        del self.named[group]
        return found

    def note_refusal(
        self, run: RankRun, faulty_rank: str, now: float
    ) -> list[RankCrash]:
        """
        Return the crashes that the refusal of a run shows.

        ``faulty_rank`` is the name or address of the rank at fault, the one lost last.
        Any other one is known by the connections that it keeps open.
        """
        self._discard(run)
        self.stops.of(run.group).note_refusal(run.began, now)
        self.named.setdefault(run.group, set()).add(faulty_rank)
        return self._take_crashes(run.group, now)

    def note_connection_lost(self, run: RankRun, now: float) -> list[RankCrash]:
        """Return the crash that the lost connection of a run shows, if any."""
        found = self.note_abandoned(run, now)
        self._discard(run)
        if found or not self._may_be_cause(run):
            return found
        received_at = run.last_received_at()
        if now - received_at <= GROUP_STALL_SECONDS:
            was_silent = not run.has_response() and self._is_named(run)
            return [] if was_silent else [RankCrash(run, now, silent=False)]
        is_restart = run.has_response() and now - received_at >= LOST_SECONDS
        return [RankCrash(run, received_at)] if is_restart else []

    def note_abandoned(self, run: RankRun, now: float) -> list[RankCrash]:
        """Return the crash that shows when the caller of a run has left, if any."""
        crash = self._find_crash(run, now)
        if crash is None:
            return []
        self._discard(run)
        return [crash]

    def _take_crashes(self, group: GroupId, now: float) -> list[RankCrash]:
        self._drop_expired(now)
        runs = [run for run in self.runs if run.group == group]
        found = [crash for run in runs if (crash := self._find_crash(run, now))]
        for crash in found:
            self._discard(crash.run)
        return found

    def _find_crash(self, run: RankRun, now: float) -> RankCrash | None:
        """Return the silent crash that a run shows by now, if any."""
        if not self._may_be_cause(run):
            return None
        stops = self.stops.of(run.group)
        received_at = run.last_received_at()
        for stop in stops.known():
            began_at = stops.began_at(stop)
            if received_at < began_at and run.is_open_at(began_at):
                is_silent = self._is_named(run) or _is_left_open(run, stop, now)
                return RankCrash(run, began_at) if is_silent else None
        return None

    def _may_be_cause(self, run: RankRun) -> bool:
        """Return whether a rank may have crashed as it executed a run."""
        if not run.is_unproven():
            return False
        return not self.stops.of(run.group).is_stopped(run.began)

    def _is_named(self, run: RankRun) -> bool:
        """Return whether a rank was named as lost since its group last made a pass."""
        named = self.named.get(run.group, set())
        return run.target.name in named or run.target.address in named

    def _discard(self, run: RankRun) -> None:
        if run in self.runs:
            self.runs.remove(run)

    def _drop_expired(self, now: float) -> None:
        self.runs = [
            run
            for run in self.runs
            if run.ended_at is None or now - run.ended_at < RETENTION_SECONDS
        ]


def _is_left_open(run: RankRun, stop: GroupStop, now: float) -> bool:
    """Return whether a run went on after all other ranks had dropped theirs."""
    ended_at = now if run.ended_at is None else run.ended_at
    return ended_at > stop.refused_at + CUT_SECONDS
