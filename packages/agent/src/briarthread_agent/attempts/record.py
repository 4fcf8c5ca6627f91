"""What an agent remembers of one key."""

from enum import StrEnum

import anyio

from briarthread_agent.attempts.response_buffer import ResponseBuffer
from briarthread_common.messages.attempt import Attempt


class RecordState(StrEnum):
    """Tell how far the run of a key has come."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class Record:
    """
    Hold the one run of a key: its attempts, its state and its answer.

    ``ids`` are the attempts that take part, the first one and those that
    joined; ``expires`` is the Unix time until which the record is kept.
    ``imported`` says that the run is, or was, another agent's.
    """

    def __init__(
        self, attempt: Attempt, fingerprint: int, expires: float, limit: int
    ) -> None:
        self.attempt = attempt
        self.fingerprint = fingerprint
        self.expires = expires
        self.ids = {attempt.id}
        self.readers = 0
        self.imported = False
        self.state = RecordState.QUEUED
        self.response = ResponseBuffer(limit)
        self.scope = anyio.CancelScope()

    @property
    def must_finish(self) -> bool:
        """Tell whether the run goes on when nobody waits for it."""
        return self.state is RecordState.RUNNING and not self.attempt.idempotent
