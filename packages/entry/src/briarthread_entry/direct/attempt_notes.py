"""What is remembered and logged of an attempt that has ended."""

import anyio

from briarthread_common.core.event_log import EventLog
from briarthread_common.direct.answer_notice import SERVICE_UNAVAILABLE
from briarthread_entry.direct.attempt_outcome import (
    DirectOutcome,
    LeftSlowRank,
    MayHaveRun,
    ProvedNotRun,
    StreamPassedOn,
    TargetAnswer,
)
from briarthread_entry.direct.crash_book import CrashBook
from briarthread_entry.direct.direct_request import DirectRequest
from briarthread_entry.direct.group_capacity import GroupCapacityTracker
from briarthread_entry.direct.target_backoffs import TargetBackoffs
from briarthread_entry.direct.target_state import DirectTargetState

STALL_SECONDS = 1.2
"""Time, s, after which a rank that breaks an unanswered run off is not the one that
crashed: the others of its group wait that long for one that is lost."""
SERVER_ERROR = 500
"""Statuses from here on are the target's own failures (RFC 9110, 15.6)."""


class AttemptNotes:
    """
    Record how an attempt ended: at its target, its group and in the log.

    What it says of a crash of its target goes to ``crashes``.
    """

    def __init__(
        self,
        rooms: GroupCapacityTracker,
        crashes: CrashBook,
        backoffs: TargetBackoffs,
        events: EventLog,
    ) -> None:
        self.rooms = rooms
        self.backoffs = backoffs
        self.crashes = crashes
        self.events = events

    def note(
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
            case StreamPassedOn():
                answer = _describe_stream(request, outcome)
                self._note_served(request, state, answer, seconds)
            case TargetAnswer(status=status) if status < SERVER_ERROR:
                self._note_served(request, state, str(status), seconds)
            case TargetAnswer(status=status) if self._backing_off(state, status):
                self._note_attempt_failed(
                    request, state, "the target requested a backoff"
                )
            case TargetAnswer(status=status):
                self._note_failed(request, state, f"the target answered {status}")
            case ProvedNotRun(written=False, error=error) | MayHaveRun(error=error):
                self._note_failed(request, state, error.detail)
            case LeftSlowRank(factor=factor):
                reason = f"{factor:.1f} times slower, going on elsewhere"
                self.events.add("attempt-moved", state.target.name, reason, request.id)
            case ProvedNotRun():
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
            case StreamPassedOn() | TargetAnswer():
                self.crashes.note_whole(request.digest, now)
                self.crashes.note_alive(name, began)
            case ProvedNotRun(written=True, replaced=False, faulty=""):
                self.crashes.note_alive(name, began)
            case MayHaveRun(broken_off=True) if not self.rooms.registry.is_leaving(
                state
            ):
                in_group = request.service.engine is not None
                stalled = in_group and now - began > STALL_SECONDS
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
        self, request: DirectRequest, state: DirectTargetState, refusal: ProvedNotRun
    ) -> None:
        reason = refusal.error.detail
        self._note_attempt_failed(request, state, reason)
        state.replaced = state.replaced or refusal.replaced
        if refusal.faulty:
            group = self.rooms.membership.group_of(state.target)
            self.rooms.note_refused(group, refusal.faulty)


def _describe_stream(request: DirectRequest, passed: StreamPassedOn) -> str:
    """Return what decides whether a stream was in time."""
    if passed.first_at is None:
        return "empty stream"
    first = passed.first_at - request.arrived
    return f"stream, first {first:.3f} s, pause {passed.longest_pause:.3f} s,"
