"""Execution of a single attempt, watched until it ends or moves."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from functools import partial

import anyio

from briarthread_common.direct.group_id import GroupId
from briarthread_entry.direct.attempts.attempt_outcome import (
    DirectOutcome,
    RankTooSlow,
    TargetSilent,
)
from briarthread_entry.direct.attempts.attempt_recorder import AttemptRecorder
from briarthread_entry.direct.attempts.attempt_sender import AttemptSender
from briarthread_entry.direct.attempts.silent_attempts import SilentAttempts
from briarthread_entry.direct.crashes.crash_rule import PROVEN_EVENTS
from briarthread_entry.direct.crashes.crash_tracker import CrashTracker, RunningRequest
from briarthread_entry.direct.crashes.rank_run import RankRun
from briarthread_entry.direct.groups.group_capacity import GroupCapacityTracker
from briarthread_entry.direct.groups.slow_ranks import SlowRanks
from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.responses.response_relay import ResponseRelay
from briarthread_entry.direct.routing.target_chooser import TargetChooser
from briarthread_entry.direct.targets.target_state import DirectTargetState

MayLeave = Callable[[DirectOutcome], bool]
"""Returns whether an attempt may end with an outcome to go on at another target."""


class AttemptRunner:
    """
    Run an attempt at a target, and tell the components that learn from it.

    An attempt that may move ends early if its rank is too slow or its target silent.
    """

    def __init__(
        self,
        chooser: TargetChooser,
        sender: AttemptSender,
        crashes: CrashTracker,
        capacity: GroupCapacityTracker,
        slow_ranks: SlowRanks,
        silent_attempts: SilentAttempts,
        attempt_recorder: AttemptRecorder,
    ) -> None:
        self.chooser = chooser
        self.sender = sender
        self.crashes = crashes
        self.capacity = capacity
        self.slow_ranks = slow_ranks
        self.silent_attempts = silent_attempts
        self.attempt_recorder = attempt_recorder
        self.silent_ranks = attempt_recorder.silent_ranks

    async def run(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        relay: ResponseRelay,
        tried: set[str],
        may_leave: MayLeave | None,
    ) -> DirectOutcome:
        """
        Return how an attempt ended.

        ``may_leave`` is ``None`` if it may not move; ``tried`` are the names of the
        targets that have been tried.
        """
        started = anyio.current_time()
        running = self.chooser.total_running(state, started)
        group = self.capacity.membership.group_of(state.target)
        relay.begin_attempt(partial(self._note_event, request, relay, group))
        run = RunningRequest(
            request.digest,
            state.target.name,
            state.target.started_ms,
            request.segments,
        )
        self.crashes.note_start(run)
        rank_run = self._start_rank_run(request, state, started, relay)
        state.running += 1
        state.prompt_tokens += request.prompt_tokens
        try:
            if may_leave is None:
                outcome = await self.sender.send(request, state, relay)
            else:
                outcome = await self._send_until_moved(
                    request, state, relay, tried, may_leave
                )
        except anyio.get_cancelled_exc_class():
            self.attempt_recorder.record_abandoned(
                request, state, started, relay, rank_run
            )
            raise
        finally:
            state.running -= 1
            state.prompt_tokens -= request.prompt_tokens
            self.crashes.note_end(run)
            if rank_run is not None:
                self.silent_ranks.end(rank_run, anyio.current_time())
        self.attempt_recorder.record(
            request,
            state,
            outcome,
            started,
            relay.progress,
            running,
            rank_run,
        )
        return outcome

    def _start_rank_run(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        began: float,
        relay: ResponseRelay,
    ) -> RankRun | None:
        """Record an attempt at a rank of a group, ``None`` for any other target."""
        if request.service.engine is None:
            return None
        group = self.capacity.membership.group_of(state.target)
        return self.silent_ranks.start(request, state.target, group, began, relay)

    def _note_event(
        self,
        request: DirectRequest,
        relay: ResponseRelay,
        group: GroupId,
        previous: float | None,
    ) -> None:
        self.capacity.note_event(request.service, group, previous)
        self.attempt_recorder.note_pass(group)
        if relay.progress.events == PROVEN_EVENTS:
            now = anyio.current_time()
            self.crashes.segments.note_answered(request.segments, now)

    async def _send_until_moved(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        relay: ResponseRelay,
        tried: set[str],
        may_leave: MayLeave,
    ) -> DirectOutcome:
        """Send an attempt; cancel it if it should move and a retry is allowed."""
        outcomes: list[DirectOutcome] = []

        def leave(outcome: DirectOutcome) -> None:
            if may_leave(outcome):
                outcomes.append(outcome)
                scope.cancel()

        with anyio.CancelScope() as scope, self._watch(request, state, tried, leave):
            return await self.sender.send(request, state, relay)
        return outcomes[0]

    def _watch(
        self,
        request: DirectRequest,
        state: DirectTargetState,
        tried: set[str],
        leave: Callable[[DirectOutcome], None],
    ) -> AbstractContextManager[None]:
        """Call ``leave`` when the attempt should continue at another target."""
        if request.service.engine is not None:
            return self.slow_ranks.watch(
                request.service.name,
                state,
                lambda factor: leave(RankTooSlow(factor)),
            )

        def leave_silent(seconds: float) -> None:
            if self.chooser.has_answering_target(request, tried):
                leave(TargetSilent(seconds))

        return self.silent_attempts.watch(state, leave_silent)
