"""Runs of requests at targets of plain services that were answered nothing."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from briarthread_entry.direct.requests.direct_request import DirectRequest
from briarthread_entry.direct.targets.target_state import DirectTargetState

RETENTION_SECONDS = 20.0
"""Time in seconds for which a run is kept. A target that has crashed is started again,
or leaves the list, within some seconds."""
CRASH_WINDOW_SECONDS = 0.2
"""Time in seconds after the first unanswered run within which another one may have
crashed its target. Those before it are answered as fast as the service answers."""
MAX_RUNS = 512
"""Maximum number of runs kept; the oldest is evicted first."""


@dataclass(frozen=True, slots=True, eq=False)
class SilentRun:
    """
    A run that ended without an answer; times are in seconds on the loop's clock.

    ``is_repeat`` is true if another target had answered the same request nothing.
    """

    request: DirectRequest
    state: DirectTargetState
    began: float
    is_repeat: bool = False

    def is_disproved(self) -> bool:
        """Return whether the target has answered a call that was sent later."""
        return self.state.presence.answered_at >= self.began


class SilentRuns:
    """
    Keep unanswered runs until it is known whether their targets crashed.

    A target that falls silent ends no connection, and one that is only slow looks the
    same at first. What tells them apart is what follows: a slow one answers a later
    call, one that has crashed is started anew or leaves the list without a word.

    A request that the entry itself repeated counts once. Where many targets are silent
    it may meet several of them, and only what its caller sends again is evidence.
    """

    def __init__(self) -> None:
        self.runs: deque[SilentRun] = deque(maxlen=MAX_RUNS)

    def note(
        self, request: DirectRequest, state: DirectTargetState, began: float
    ) -> None:
        """Record a run that ended before its target had answered anything."""
        is_repeat = self.has_run(request)
        self.runs.append(SilentRun(request, state, began, is_repeat))

    def has_run(self, request: DirectRequest) -> bool:
        """Return whether a target has answered a request nothing."""
        return any(run.request is request for run in self.runs)

    def take_crashed(
        self, is_gone: Callable[[DirectTargetState], bool], now: float
    ) -> list[SilentRun]:
        """Return the runs at targets that are gone; each run is returned once."""
        kept = [
            run
            for run in self.runs
            if now - run.began < RETENTION_SECONDS and not run.is_disproved()
        ]
        gone = [run for run in kept if is_gone(run.state)]
        self.runs = deque((run for run in kept if run not in gone), MAX_RUNS)
        return [run for run in gone if _may_be_cause(run, gone)]


def _may_be_cause(run: SilentRun, others: list[SilentRun]) -> bool:
    """Return whether a run may have crashed its target, and was the caller's choice."""
    if run.is_repeat:
        return False
    first = min(other.began for other in others if other.state is run.state)
    return run.began <= first + CRASH_WINDOW_SECONDS
