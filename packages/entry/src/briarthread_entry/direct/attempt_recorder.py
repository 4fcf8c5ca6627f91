"""What is remembered and logged of an attempt that has ended."""

import anyio

from briarthread_common.core.event_log import EventLog
from briarthread_common.direct.response_signals import SERVICE_UNAVAILABLE
from briarthread_entry.direct.attempt_outcome import (
    DirectOutcome,
    NotRun,
    OutcomeUnknown,
    RankTooSlow,
    StreamRelayed,
    TargetResponse,
)
from briarthread_entry.direct.crash_tracker import CrashTracker
from briarthread_entry.direct.direct_request import DirectRequest
from briarthread_entry.direct.group_capacity import GroupCapacityTracker
from briarthread_entry.direct.target_backoffs import TargetBackoffs
from briarthread_entry.direct.target_state import DirectTargetState

GROUP_STALL_SECONDS = 1.2
"""Time, s, after which a rank that breaks an unanswered run off is not the one that
crashed: the others of its group wait that long for one that is lost."""
SERVER_ERROR = 500
"""Statuses from here on are the target's own failures (RFC 9110, 15.6)."""


class AttemptRecorder:
    """
    Record how an attempt ended: at its target, its group and in the log.

    What it says of a crash of its target goes to ``crashes``.
    """

    def __init__(
        self,
        rooms: GroupCapacityTracker,
        crashes: CrashTracker,
        backoffs: TargetBackoffs,
        events: EventLog,
    ) -> None:
        self.rooms = rooms
        self.backoffs = backoffs
        self.crashes = crashes
        self.events = events

    def record(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        outcome: DirectOutcome,
        began: float,
        unanswered: bool,
    ) -> None:
        """
        Record an attempt that began at some time of the runtime.

        ``unanswered`` says that no event of it has come.
        """
        seconds = anyio.current_time() - began
        self._note_crash(request, state, outcome, began, unanswered)
        match outcome:
            case StreamRelayed():
                answer = _describe_stream(request, outcome)
                self._note_served(request, state, answer, seconds)
            case TargetResponse(status=status) if status < SERVER_ERROR:
                self._note_served(request, state, str(status), seconds)
            case TargetResponse(status=status) if self._backing_off(state, status):
                self._note_attempt_failed(
                    request, state, "the target requested a backoff"
                )
            case TargetResponse(status=status):
                self._note_failed(request, state, f"the target answered {status}")
            case NotRun(written=False, error=error) | OutcomeUnknown(error=error):
                self._note_failed(request, state, error.detail)
            case RankTooSlow(factor=factor):
                reason = f"{factor:.1f} times slower, going on elsewhere"
                self.events.add("attempt-moved", state.target.name, reason, request.id)
            case NotRun():
                self._note_refused(request, state, outcome)

    def _note_crash(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        outcome: DirectOutcome,
        began: float,
        unanswered: bool,
    ) -> None:
        """Take note of what an attempt says of a crash of its target."""
        now = anyio.current_time()
        name = state.target.name
        match outcome:
            case StreamRelayed() | TargetResponse():
                self.crashes.note_complete_response(request.digest, now)
                self.crashes.note_alive(name, began)
            case NotRun(written=True, replaced=False, faulty_rank=""):
                self.crashes.note_alive(name, began)
            case OutcomeUnknown(connection_lost=True) if (
                not self.rooms.registry.is_leaving(state)
            ):
                in_group = request.service.engine is not None
                stalled = in_group and now - began > GROUP_STALL_SECONDS
                if unanswered and not stalled:
                    self.crashes.note_crash(request.digest, name, began, now)

    def _note_served(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        answer: str,
        seconds: float,
    ) -> None:
        state.note_success(seconds)
        waited = anyio.current_time() - seconds - request.arrived
        reason = f"{answer} in {seconds:.3f} s, sent after {waited:.3f} s"
        self.events.add("request-served", state.target.name, reason, request.id)

    def _backing_off(self, state: DirectTargetState, status: int) -> bool:
        now = anyio.current_time()
        return status == SERVICE_UNAVAILABLE and self.backoffs.active(
            state.target.name, now
        )

    def _note_attempt_failed(
        self, request: DirectRequest, state: DirectTargetState, reason: str
    ) -> None:
        self.events.add("attempt-failed", state.target.name, reason, request.id)

    def _note_failed(
        self, request: DirectRequest, state: DirectTargetState, reason: str
    ) -> None:
        name = state.target.name
        self._note_attempt_failed(request, state, reason)
        if state.note_failure(anyio.current_time()):
            self.events.add("target-ejected", name, reason)

    def _note_refused(
        self, request: DirectRequest, state: DirectTargetState, refusal: NotRun
    ) -> None:
        reason = refusal.error.detail
        self._note_attempt_failed(request, state, reason)
        state.replaced = state.replaced or refusal.replaced
        if refusal.faulty_rank:
            group = self.rooms.membership.group_of(state.target)
            self.rooms.note_refused(group, refusal.faulty_rank)


def _describe_stream(request: DirectRequest, passed: StreamRelayed) -> str:
    """Return what decides whether a stream was in time."""
    if passed.first_event_at is None:
        return "empty stream"
    first = passed.first_event_at - request.arrived
    return f"stream, first {first:.3f} s, pause {passed.longest_pause:.3f} s,"
