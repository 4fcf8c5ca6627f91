"""Recording of attempts that have ended."""

from collections.abc import Iterable

import anyio

from briarthread_common.core.event_log import EventLog
from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.group_id import GroupId
from briarthread_common.direct.response_signals import SERVICE_UNAVAILABLE
from briarthread_entry.direct.attempts.attempt_outcome import (
    DirectOutcome,
    NotRun,
    OutcomeUnknown,
    RankTooSlow,
    StreamRelayed,
    TargetResponse,
    TargetSilent,
)
from briarthread_entry.direct.attempts.attempt_progress import AttemptProgress
from briarthread_entry.direct.crashes.crash_rule import PROVEN_EVENTS
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker
from briarthread_entry.direct.crashes.rank_run import RankRun
from briarthread_entry.direct.crashes.silent_ranks import RankCrash, SilentRanks
from briarthread_entry.direct.crashes.silent_runs import SilentRuns
from briarthread_entry.direct.groups.group_capacity import GroupCapacityTracker
from briarthread_entry.direct.limits.target_backoffs import TargetBackoffs
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.responses.response_relay import ResponseRelay
from briarthread_entry.direct.routing.plain_targets import PlainTargets
from briarthread_entry.direct.targets.target_state import DirectTargetState

USELESS_READS = 3
"""Reads without an event, the last ones before the deadline, that make an attempt a
failure of its target. An event may come in two parts."""
SERVER_ERROR = 500
"""Lowest status of a failure of the target itself (RFC 9110, 15.6)."""


class AttemptRecorder:
    """
    Record the outcome of an attempt for its target and group and in the event log.

    Evidence for or against a crash of the target is passed to ``crashes``.
    """

    def __init__(
        self,
        capacity: GroupCapacityTracker,
        crashes: CrashTracker,
        backoffs: TargetBackoffs,
        plain_targets: PlainTargets,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        self.capacity = capacity
        self.backoffs = backoffs
        self.crashes = crashes
        self.plain_targets = plain_targets
        self.metrics = metrics
        self.events = events
        self.silent_ranks = SilentRanks(crashes.stops)
        self.silent_runs = SilentRuns()

    def record(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        outcome: DirectOutcome,
        began: float,
        progress: AttemptProgress,
        running: int = 0,
        rank_run: RankRun | None = None,
    ) -> None:
        """
        Record an attempt that started at ``began`` on the event loop's clock.

        ``running`` is the number of attempts of all entries that ran at the target when
        this one started. ``rank_run`` is its run if the target is a rank of a group.
        """
        seconds = anyio.current_time() - began
        self._record_run(request, state, outcome, began, running)
        self._note_crash(request, state, outcome, began, progress, rank_run)
        match outcome:
            case StreamRelayed():
                result = _describe_stream(request, outcome)
                self._note_served(request, state, result, seconds, progress)
            case TargetResponse(status=status) if status < SERVER_ERROR:
                self._note_served(request, state, str(status), seconds, progress)
            case TargetResponse(status=status) if self._backing_off(state, status):
                self._note_attempt_failed(
                    request, state, "the target requested a backoff"
                )
            case TargetResponse(status=status):
                self._note_failed(request, state, f"the target answered {status}")
            case OutcomeUnknown():
                self._record_unknown(request, state, outcome, progress, seconds)
            case NotRun(written=False, error=error):
                self._note_failed(request, state, error.detail)
            case RankTooSlow(factor=factor):
                reason = f"{factor:.1f} times slower, continuing on another rank"
                self.events.add("attempt-moved", state.target.name, reason, request.id)
            case TargetSilent(seconds=silent):
                self._note_silent(request, state, began, progress)
                self.plain_targets.note_moved(state, silent, running)
                reason = f"nothing answered for {silent:.3f} s, repeated elsewhere"
                self.events.add("attempt-moved", state.target.name, reason, request.id)
            case NotRun():
                self._note_refused(request, state, outcome, rank_run)

    def _record_unknown(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        outcome: OutcomeUnknown,
        progress: AttemptProgress,
        seconds: float,
    ) -> None:
        """Record an attempt without a valid response of its own."""
        reason = outcome.error.detail
        if outcome.foreign_response:
            self._note_attempt_failed(request, state, reason)
            return
        if outcome.connection_lost:
            reason = _describe_loss(request, reason, progress, seconds)
        self._note_failed(request, state, reason)

    def record_abandoned(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        began: float,
        relay: ResponseRelay,
        rank_run: RankRun | None = None,
    ) -> None:
        """
        Record an attempt that ended with its caller's departure or deadline.

        It is a failure of a target that went on sending without an end or an event.
        """
        answered = relay.progress.events > 0
        self.metrics.abandoned_attempts.labels(str(answered).lower()).inc()
        progress = "answered in part" if answered else "unanswered"
        seconds = anyio.current_time() - began
        reason = f"{progress} after {seconds:.3f} s"
        self.events.add("attempt-abandoned", state.target.name, reason, request.id)
        self._note_silent(request, state, began, relay.progress)
        if rank_run is not None:
            now = anyio.current_time()
            self._note_rank_crashes(self.silent_ranks.note_abandoned(rank_run, now))
        if anyio.current_time() < request.deadline:
            return
        is_plain = request.service.engine is None
        if relay.useless_reads >= USELESS_READS or (
            is_plain and relay.progress.head_at is not None
        ):
            self._note_failed(request, state, "no end of its response by the deadline")

    def note_gone_targets(self) -> None:
        """Record that the unanswered runs at targets that are gone crashed them."""
        now = anyio.current_time()
        for run in self.silent_runs.take_crashed(self._is_gone, now):
            target = run.state.target
            reason = f"gone {now - run.began:.1f} s after it was sent the request"
            self.events.add("target-silent", target.name, reason, run.request.id)
            self.crashes.note_crash(
                run.request.digest,
                target.name,
                run.began,
                run.began,
                target.started_ms,
                silent=True,
            )

    def _is_gone(self, state: DirectTargetState) -> bool:
        """Return whether a target ended without having announced it."""
        registry = self.capacity.registry
        is_listed = registry.states.get(state.target.name) is state
        return not is_listed and not registry.is_leaving(state)

    def _note_silent(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        began: float,
        progress: AttemptProgress,
    ) -> None:
        if request.service.engine is None and progress.head_at is None:
            self.silent_runs.note(request, state, began)

    def _record_run(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        outcome: DirectOutcome,
        began: float,
        running: int,
    ) -> None:
        """Record a duration at a plain target, or that the target was restarted."""
        if state.ended:
            reason = "the target was restarted during the attempt"
            self.events.add("former-run", state.target.name, reason, request.id)
        elif request.service.engine is None and _is_served(outcome):
            seconds = anyio.current_time() - began
            self.plain_targets.note_served(state, seconds, running, began)

    def _note_crash(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        outcome: DirectOutcome,
        began: float,
        progress: AttemptProgress,
        rank_run: RankRun | None,
    ) -> None:
        """Pass on what an attempt shows about a crash of its target."""
        now = anyio.current_time()
        name, started_ms = state.target.name, state.target.started_ms
        match outcome:
            case StreamRelayed() | TargetResponse():
                self.crashes.note_complete_response(request.digest, now)
                self.crashes.segments.note_answered(request.segments, now)
                self.crashes.note_alive(name, began, started_ms)
            case NotRun(written=True, misdirected=False, faulty_rank=""):
                self.crashes.note_alive(name, began, started_ms)
            case OutcomeUnknown(connection_lost=True) if (
                not self.capacity.registry.is_leaving(state)
                and not self.silent_runs.has_run(request)
            ):
                if rank_run is not None:
                    lost = self.silent_ranks.note_connection_lost(rank_run, now)
                    self._note_rank_crashes(lost)
                elif progress.events < PROVEN_EVENTS:
                    self.crashes.note_crash(
                        request.digest, name, began, now, started_ms
                    )

    def _note_served(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        result: str,
        seconds: float,
        progress: AttemptProgress,
    ) -> None:
        state.note_success(seconds)
        waited = anyio.current_time() - seconds - request.arrived
        reason = (
            f"{result} in {seconds:.3f} s, sent after {waited:.3f} s, "
            f"call {progress.call_number} of its connection"
        )
        self.events.add("request-served", state.target.name, reason, request.id)

    def _backing_off(self, state: DirectTargetState, status: int) -> bool:
        now = anyio.current_time()
        return status == SERVICE_UNAVAILABLE and self.backoffs.is_active(
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
        if state.note_failure(anyio.current_time()) and not state.ended:
            self.events.add("target-ejected", name, reason)

    def _note_refused(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        refusal: NotRun,
        rank_run: RankRun | None,
    ) -> None:
        reason = refusal.error.detail
        if refusal.has_ended:
            self._note_attempt_failed(request, state, reason)
        else:
            self._note_failed(request, state, f"{reason}, without an end")
        if not refusal.faulty_rank:
            return
        group = self.capacity.membership.group_of(state.target)
        self.capacity.note_refused(group, refusal.faulty_rank)
        if rank_run is not None:
            now = anyio.current_time()
            crashes = self.silent_ranks.note_refusal(rank_run, refusal.faulty_rank, now)
            self._note_rank_crashes(crashes)

    def note_pass(self, group: GroupId) -> None:
        """Record that a group has made a pass."""
        crashes = self.silent_ranks.note_event(group, anyio.current_time())
        self._note_rank_crashes(crashes)

    def _note_rank_crashes(self, crashes: Iterable[RankCrash]) -> None:
        now = anyio.current_time()
        for crash in crashes:
            run = crash.run
            if crash.silent:
                reason = f"silent since {now - run.last_received_at():.1f} s"
                self.events.add("rank-silent", run.target.name, reason, run.request.id)
            self.crashes.note_crash(
                run.request.digest,
                run.target.name,
                run.began,
                crash.at,
                run.target.started_ms,
                run.request.segments,
                silent=crash.silent,
            )


def _is_served(outcome: DirectOutcome) -> bool:
    """Return whether an attempt ended with a response that is not a failure."""
    match outcome:
        case StreamRelayed():
            return True
        case TargetResponse(status=status):
            return status < SERVER_ERROR
        case _:
            return False


def _describe_loss(
    request: DirectRequest, detail: str, progress: AttemptProgress, seconds: float
) -> str:
    """Return what can show that the request crashed its target."""
    segments = " ".join(request.segments) or "none"
    return (
        f"{detail}; {progress} in {seconds:.3f} s; account {request.account}, "
        f"digest {request.digest}, shared prompt segments {segments}"
    )


def _describe_stream(request: DirectRequest, stream: StreamRelayed) -> str:
    """Return the figures that the latency objectives of a stream apply to."""
    if stream.first_event_at is None:
        return "empty stream"
    first = stream.first_event_at - request.arrived
    return f"stream, first {first:.3f} s, pause {stream.longest_pause:.3f} s,"
