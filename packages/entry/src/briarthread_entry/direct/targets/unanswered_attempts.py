"""Attempts at a target that have not been answered."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio


@dataclass(slots=True, eq=False)
class UnansweredAttempts:
    """
    Measure for how long a target has not answered anything that it was sent.

    The head of a stream and the end of any other response are answers, and so is
    progress on the way to that end. ``sent_at`` holds the times at which the
    unanswered attempts were sent by their numbers, the oldest first. ``lost_after`` is
    the silence that the last attempt left behind when it ended without an answer, so
    that a target is not forgiven when its callers give up. Times are in seconds on the
    event loop's clock.

    >>> attempts = UnansweredAttempts(sent_at={1: 3.0}, last_answer=4.0)
    >>> attempts.silent_seconds(now=6.0)
    2.0
    >>> attempts.note_answer(1, now=6.0)
    >>> attempts.silent_seconds(now=7.0)
    0.0
    """

    sent_at: dict[int, float] = field(default_factory=dict)
    last_answer: float = float("-inf")
    lost_after: float = 0.0
    count: int = 0

    @contextmanager
    def attempt(self, sent_at: float) -> Iterator[int]:
        """Count an attempt as unanswered until ``note_answer`` with its number."""
        self.count += 1
        number = self.count
        self.sent_at[number] = sent_at
        try:
            yield number
        finally:
            if number in self.sent_at:
                self._end_unanswered(number, anyio.current_time())

    def note_answer(self, number: int, now: float) -> None:
        """Record that an attempt has been answered."""
        self.sent_at.pop(number, None)
        self.last_answer = now
        self.lost_after = 0.0

    def note_progress(self, number: int, now: float) -> None:
        """Record a part of the response to an attempt that is still unanswered."""
        if number in self.sent_at:
            self.last_answer = now
            self.lost_after = 0.0

    def silent_seconds(self, now: float) -> float:
        """Return for how long nothing has been answered, 0.0 if nothing is missing."""
        if not self.sent_at:
            return self.lost_after
        oldest = next(iter(self.sent_at.values()))
        return max(now - max(oldest, self.last_answer), self.lost_after)

    def _end_unanswered(self, number: int, now: float) -> None:
        silent = now - max(self.sent_at.pop(number), self.last_answer)
        self.lost_after = max(self.lost_after, silent)
