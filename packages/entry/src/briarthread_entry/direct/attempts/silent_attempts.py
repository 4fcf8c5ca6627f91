"""Moving of requests off targets that have stopped answering."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import anyio

from briarthread_entry.direct.routing.plain_targets import PlainTargets
from briarthread_entry.direct.targets.target_condition import TargetCondition
from briarthread_entry.direct.targets.target_state import DirectTargetState

CHECK_INTERVAL_SECONDS = 0.1
"""Interval in seconds at which watched attempts are checked, a fraction of the shortest
silence."""
PROBE_PATIENCE = 3.0
"""Factor on the time after which a probe of a silent target is moved. A target that has
become up to twelve times slower answers in it, and is then known to be slow."""


class SilentAttempts:
    """
    Watch attempts at plain targets that may be repeated at another target.

    It is for a target that takes requests and answers nothing: without it, these end at
    their callers' deadlines.
    """

    def __init__(self, plain_targets: PlainTargets) -> None:
        self.plain_targets = plain_targets
        self.attempts: dict[_WatchedAttempt, None] = {}
        self.added = anyio.Event()

    @contextmanager
    def watch(
        self, state: DirectTargetState, on_silent: Callable[[float], None]
    ) -> Iterator[None]:
        """
        Call ``on_silent`` at most once, with the age of the attempt in seconds.

        It is called when the target is silent and this attempt shows it too.
        """
        is_probe = state.condition is TargetCondition.SILENT
        attempt = _WatchedAttempt(
            state,
            anyio.current_time(),
            PROBE_PATIENCE if is_probe else 1.0,
            on_silent,
        )
        self.attempts[attempt] = None
        self.added.set()
        try:
            yield
        finally:
            self.attempts.pop(attempt, None)

    async def run(self) -> None:
        """Check the watched attempts until cancelled."""
        while True:
            if not self.attempts:
                self.added = anyio.Event()
                await self.added.wait()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            now = anyio.current_time()
            for attempt in list(self.attempts):
                if self._is_silent(attempt, now):
                    self.attempts.pop(attempt, None)
                    attempt.on_silent(now - attempt.began)

    def _is_silent(self, attempt: "_WatchedAttempt", now: float) -> bool:
        state = attempt.state
        limit = self.plain_targets.silence_limit(state)
        if limit is None or now - attempt.began <= limit * attempt.patience:
            return False
        return state.unanswered.silent_seconds(now) > limit


@dataclass(frozen=True, eq=False, slots=True)
class _WatchedAttempt:
    state: DirectTargetState
    began: float
    patience: float
    on_silent: Callable[[float], None]
