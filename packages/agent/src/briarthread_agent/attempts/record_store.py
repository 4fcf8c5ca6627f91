"""Records of idempotency keys, by which each key runs at most once."""

import heapq

from briarthread_agent.attempts.record import Record, RecordState
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.messages.attempt import Attempt
from briarthread_common.messages.revoke import RevokeRequest, RevokeState
from briarthread_common.utils.clock import Clock

MAX_CLOCK_SKEW = 2.0
"""Largest clock difference of two machines, in seconds; see the settings page."""


class RecordStore:
    """
    Store a record of each received key and a tombstone of each revoked attempt.

    A tombstone is kept until after the deadline of its attempt. The agent refuses
    any attempt past its deadline, so a delayed copy of a revoked attempt never
    starts.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.records: dict[str, Record] = {}
        self.tombstones: dict[str, float] = {}
        self.expiries: list[tuple[float, str]] = []

    def find(self, attempt: Attempt, fingerprint: int) -> Record | None:
        """
        Return the record that an attempt joins, ``None`` if it has to start a run.

        Raise RequestError if the attempt was revoked or its key was used for
        another request.
        """
        self.expire()
        if attempt.id in self.tombstones:
            raise RequestError(ErrorKind.REVOKED, "attempt was revoked")
        record = self.records.get(attempt.key)
        if record is None:
            return None
        if record.fingerprint != fingerprint:
            raise RequestError(
                ErrorKind.KEY_REUSED, "the key was used for another request"
            )
        if attempt.idempotent and record.response.error is not None:
            return None
        record.ids.add(attempt.id)
        return record

    def add(self, record: Record) -> None:
        """Store a new record until it expires."""
        self.records[record.attempt.key] = record
        heapq.heappush(self.expiries, (record.expires, record.attempt.key))

    def discard(self, record: Record) -> None:
        """Remove a record whose run never started."""
        if self.records.get(record.attempt.key) is record:
            del self.records[record.attempt.key]

    def revoke(self, request: RevokeRequest) -> RevokeState:
        """
        Revoke an attempt whose key has not started and return the resulting state.

        ``REVOKED`` guarantees that this attempt never runs here. If other attempts
        of the key are queued with it, the key will still run, and the state is
        ``RUNNING``.
        """
        self.expire()
        record = self.records.get(request.key)
        if record is None:
            self._add_tombstone(request)
            return RevokeState.REVOKED
        if record.state is RecordState.ENDED:
            return RevokeState.FINISHED
        if record.state is RecordState.RUNNING or record.ids != {request.id}:
            return RevokeState.RUNNING
        self._add_tombstone(request)
        record.scope.cancel()
        record.response.fail(RequestError(ErrorKind.REVOKED, "attempt was revoked"))
        self.discard(record)
        return RevokeState.REVOKED

    def expire(self) -> None:
        """Remove expired tombstones and records, except own unfinished runs."""
        now = self.clock.now()
        while self.expiries and self.expiries[0][0] < now:
            _, key = heapq.heappop(self.expiries)
            self.tombstones.pop(key, None)
            record = self.records.get(key)
            if record is None or record.expires > now:
                continue
            if record.response.ended:
                del self.records[key]
            elif record.imported:
                record.response.fail(
                    RequestError(
                        ErrorKind.OUTCOME_UNKNOWN, "the previous holder is gone"
                    )
                )
                del self.records[key]
            else:
                record.expires = now + MAX_CLOCK_SKEW
                heapq.heappush(self.expiries, (record.expires, key))

    def _add_tombstone(self, request: RevokeRequest) -> None:
        expires = request.deadline + MAX_CLOCK_SKEW
        self.tombstones[request.id] = expires
        heapq.heappush(self.expiries, (expires, request.id))
