"""A run of a request at a rank of a lock-step group."""

from dataclasses import dataclass

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.attempts.attempt_progress import AttemptProgress
from briarthread_entry.direct.crashes.crash_rule import PROVEN_EVENTS
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.responses.response_relay import ResponseRelay


@dataclass(slots=True, eq=False)
class RankRun:
    """
    A run of a request at a rank; times are in seconds on the runtime's clock.

    ``final`` is the progress of a run that has ended. The relay shows that of the
    request's latest attempt, which may be another one by then.
    """

    request: DirectRequest
    target: DirectTarget
    group: GroupId
    began: float
    relay: ResponseRelay
    final: AttemptProgress | None = None
    ended_at: float | None = None

    def end(self, now: float) -> None:
        """Record that the run has ended."""
        self.final = self.relay.progress
        self.ended_at = now

    def is_unproven(self) -> bool:
        """Return whether the rank has answered so little that it may have crashed."""
        return self._progress().events < PROVEN_EVENTS

    def has_response(self) -> bool:
        """Return whether the rank has begun to answer."""
        return self._progress().head_at is not None

    def last_received_at(self) -> float:
        """Return when the rank last sent a byte of the response."""
        return self._progress().last_received_at(self.began)

    def is_open_at(self, at: float) -> bool:
        """Return whether the run had not ended by some time."""
        return self.ended_at is None or self.ended_at > at

    def _progress(self) -> AttemptProgress:
        return self.relay.progress if self.final is None else self.final
