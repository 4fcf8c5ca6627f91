"""What is known of the failures of one background task."""

from dataclasses import dataclass

from briarthread_common.utils.doubled_pause import doubled_pause

FIRST_PAUSE_SECONDS = 0.1
"""Pause in seconds after the first failure in a row."""
MAX_PAUSE_SECONDS = 4.0
"""Longest pause in seconds. A task whose cause has gone serves again within it."""
STEADY_SECONDS = 10.0
"""Time in seconds that a task has to run for its earlier failures to be forgotten."""
REPEATED_FAILURES = 2
"""Number of failures in a row from which a task counts as failing. A single one is
repaired by the restart, which follows at once."""


@dataclass(slots=True, eq=False)
class TaskFailures:
    """
    Count the failures in a row of one task, and derive the pause before its restart.

    Times are in seconds on the event loop's clock.

    >>> failures = TaskFailures("replication", started_at=0.0)
    >>> failures.note_failure(now=1.0), failures.note_failure(now=1.1)
    (0.1, 0.2)
    >>> failures.is_failing(now=2.0)
    True
    >>> failures.note_start(now=2.0)
    >>> failures.is_failing(now=2.5), failures.is_failing(now=12.0)
    (True, False)
    >>> failures.note_failure(now=13.0)
    0.1
    """

    task: str
    started_at: float | None
    in_a_row: int = 0

    def note_start(self, now: float) -> None:
        """Record that the task runs again."""
        self.started_at = now

    def note_failure(self, now: float) -> float:
        """Record a failure and return the pause in seconds before the restart."""
        if self._is_steady(now):
            self.in_a_row = 0
        self.in_a_row += 1
        self.started_at = None
        return doubled_pause(FIRST_PAUSE_SECONDS, self.in_a_row - 1, MAX_PAUSE_SECONDS)

    def is_failing(self, now: float) -> bool:
        """Return whether the task fails repeatedly and has not recovered yet."""
        return self.in_a_row >= REPEATED_FAILURES and not self._is_steady(now)

    def _is_steady(self, now: float) -> bool:
        return self.started_at is not None and now - self.started_at >= STEADY_SECONDS
