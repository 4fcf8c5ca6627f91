"""Relay of a target's response to the caller."""

from collections.abc import Callable
from dataclasses import replace

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.http.call import Call
from briarthread_entry.direct.attempts.attempt_progress import AttemptProgress
from briarthread_entry.direct.responses.event_reader import StreamEvent

HeaderFields = tuple[tuple[str, str], ...]


class ResponseRelay:
    """
    Relay a response to the caller, each event of a stream exactly once.

    The head is sent with the first event, so that a stream that breaks before it can
    still be refused or started at another target. A later attempt may continue the
    same response. Events that the caller already has are then dropped, and a gap in the
    event ids is an error. ``on_event`` is called for each event with the time at which
    the previous event of the same attempt was sent. ``progress`` is that of the last
    attempt, ``useless_reads`` the number of reads in it since the last event that the
    caller did not have. ``first_event_at`` is the time at which the first event was
    sent and ``longest_pause`` the longest time, in seconds, between two events.
    """

    def __init__(
        self,
        call: Call,
        last_event_id: int | None,
    ) -> None:
        self.call = call
        self.last_event_id = last_event_id
        self.on_event: Callable[[float | None], None] = _ignore
        self.progress = AttemptProgress()
        self.useless_reads = 0
        self.first_event_at: float | None = None
        self.last_event_at: float | None = None
        self.longest_pause = 0.0

    def begin_attempt(self, on_event: Callable[[float | None], None]) -> None:
        """Start an attempt whose events are reported to ``on_event``."""
        self.on_event = on_event
        self.progress = AttemptProgress()
        self.useless_reads = 0

    def note_head(self, call_number: int) -> None:
        """
        Note that the head of the attempt's response has been received.

        ``call_number`` is the number of calls on its connection with this one.
        """
        self.progress = AttemptProgress(anyio.current_time(), call_number=call_number)

    def note_read(self) -> None:
        """Note that bytes of the body have been received."""
        self.useless_reads += 1

    async def forward_event(
        self, status: int, headers: HeaderFields, event: StreamEvent
    ) -> None:
        """Send an event to the caller unless the caller already has it."""
        if event.id is not None and self.last_event_id is not None:
            if event.id <= self.last_event_id:
                return
            if event.id > self.last_event_id + 1:
                raise RequestError(
                    ErrorKind.TARGET_FAILED,
                    f"event {event.id} received after event {self.last_event_id}",
                )
        if event.is_blank:
            if self.call.started:
                await self.call.send_chunk(event.raw)
            return
        self.useless_reads = 0
        if not self.call.started:
            await self.call.start(status, headers)
        await self.call.send_chunk(event.raw)
        previous, now = self.progress.last_event_at, anyio.current_time()
        self.progress = replace(
            self.progress, events=self.progress.events + 1, last_event_at=now
        )
        self.on_event(previous)
        self._note_time(now)
        if event.id is not None:
            self.last_event_id = event.id

    async def finish(self, status: int, headers: HeaderFields) -> None:
        """Complete the response."""
        if not self.call.started:
            await self.call.start(status, headers)
        await self.call.finish()

    def _note_time(self, now: float) -> None:
        if self.first_event_at is None or self.last_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now


def _ignore(previous: float | None) -> None:
    """Ignore an event."""
