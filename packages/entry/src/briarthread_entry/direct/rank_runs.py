"""Runs of requests at the ranks of lock-step groups, and which of them fell silent."""

from dataclasses import dataclass

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.crash_rule import PROVEN_EVENTS
from briarthread_entry.direct.direct_request import DirectRequest
from briarthread_entry.direct.response_relay import ResponseRelay

MIN_SILENT_SECONDS = 0.5
"""Time in seconds without a byte from which a run that ends may be one at a rank that
has fallen silent. A rank answers in each pass, several times a second."""
GROUP_STALL_SECONDS = 1.2
"""Time in seconds without any response above which a run that loses its connection to a
rank does not mean that this rank crashed. The other ranks of a group wait that long for
a lost one before they drop their connections."""
CUT_SECONDS = 0.2
"""Time in seconds after the first refusal of a group by which its ranks have dropped
their connections, apart from those that have fallen silent."""
RETENTION_SECONDS = 6.0
"""Time in seconds for which such a run is kept. Its group names the rank at fault after
a second or two, in the answer to the entry's next request."""


@dataclass(slots=True, eq=False)
class RankRun:
    """A run of a request at a rank; times are in seconds on the runtime's clock."""

    request: DirectRequest
    target: DirectTarget
    group: GroupId
    began: float
    relay: ResponseRelay
    ended_at: float | None = None

    def is_unproven(self) -> bool:
        """Return whether the rank has answered so little that it may have crashed."""
        return self.relay.progress.events < PROVEN_EVENTS

    def last_received_at(self) -> float:
        """Return when the rank last sent a byte of the response."""
        return self.relay.progress.last_received_at(self.began)


class RankRuns:
    """
    Keep the runs at ranks that may have been interrupted by a silent crash.

    A rank that falls silent ends no connection. What shows its crash are the refusals
    of the other ranks in its group. They name it, or another one that crashed at the
    same time; but then the silent one does not drop its connections like all others.
    """

    def __init__(self) -> None:
        self.runs: list[RankRun] = []
        self.refusals: dict[GroupId, tuple[float, float]] = {}

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
        run.ended_at = now
        was_silent = now - run.last_received_at() >= MIN_SILENT_SECONDS
        if not (was_silent and run.is_unproven()):
            self._discard(run)

    def take_silent(
        self, group: GroupId, rank: str, now: float
    ) -> list[tuple[RankRun, float]]:
        """
        Return the runs at silent ranks after a refusal, with the time of the crash.

        ``rank`` is the name or address of the rank at fault. Each run is returned once.
        """
        self._drop_expired(now)
        since = self._note_refusal(group, now)
        found: list[tuple[RankRun, float]] = []
        for run in [run for run in self.runs if run.group == group]:
            is_named = rank in (run.target.name, run.target.address)
            crashed_at = (now if is_named else since) - GROUP_STALL_SECONDS
            is_silent = run.is_unproven() and run.last_received_at() < crashed_at
            if is_silent and (is_named or _is_left_open(run, since, now)):
                self._discard(run)
                found.append((run, crashed_at))
        return found

    def _note_refusal(self, group: GroupId, now: float) -> float:
        """Return the time of the first refusal since the group last made passes."""
        since, last = self.refusals.get(group, (now, now))
        if now - last > GROUP_STALL_SECONDS:
            since = now
        self.refusals[group] = (since, now)
        return since

    def _discard(self, run: RankRun) -> None:
        if run in self.runs:
            self.runs.remove(run)

    def _drop_expired(self, now: float) -> None:
        self.runs = [
            run
            for run in self.runs
            if run.ended_at is None or now - run.ended_at < RETENTION_SECONDS
        ]


def _is_left_open(run: RankRun, since: float, now: float) -> bool:
    """Return whether a run went on after all other ranks had dropped theirs."""
    ended_at = now if run.ended_at is None else run.ended_at
    return ended_at > since + CUT_SECONDS
