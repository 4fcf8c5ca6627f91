"""The record of one idempotency key."""

from enum import StrEnum

import anyio

from briarthread_agent.attempts.response_buffer import ResponseBuffer
from briarthread_common.messages.attempt import Attempt


class RecordState(StrEnum):
    """State of the run of a key."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class Record:
    """
    Hold the single run of a key: its attempts, its state and its response.

    ``ids`` are the attempts of the run, the first one and those that joined
    it; ``expires`` is the Unix time until which the record is kept.
    ``imported`` is true if the run is, or was, on another agent.
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
        """Return whether the run continues when it has no reader left."""
        return self.state is RecordState.RUNNING and not self.attempt.idempotent
