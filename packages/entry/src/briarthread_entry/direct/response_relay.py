"""What a caller has got of its answer so far."""

from collections.abc import Callable

import anyio

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.http.call import Call
from briarthread_entry.direct.event_reader import StreamEvent

HeaderFields = tuple[tuple[str, str], ...]


class ResponseRelay:
    """
    Pass an answer on to the caller, each event of a stream exactly once.

    The head goes out with the first event, so that a stream that broke
    before it can still be refused or started elsewhere. A later run may go
    on in the same answer; events that the caller has are left out then, and
    one that skips some is an error. ``on_event`` is told when the event before
    of the same run was passed on. ``first_at`` is when the first event went out, and
    ``longest_pause`` the longest time, s, between two.
    """

    def __init__(
        self,
        call: Call,
        last_event_id: int | None,
    ) -> None:
        self.call = call
        self.last_event_id = last_event_id
        self.on_event: Callable[[float | None], None] = _ignore
        self.last_attempt_event_at: float | None = None
        self.first_at: float | None = None
        self.last_at: float | None = None
        self.longest_pause = 0.0

    def begin_attempt(self, on_event: Callable[[float | None], None]) -> None:
        """Have ``on_event`` told of the events of a run that begins now."""
        self.on_event = on_event
        self.last_attempt_event_at = None

    async def forward_event(
        self, status: int, headers: HeaderFields, event: StreamEvent
    ) -> None:
        """Send an event on unless the caller has it."""
        if event.id is not None and self.last_event_id is not None:
            if event.id <= self.last_event_id:
                return
            if event.id > self.last_event_id + 1:
                raise RequestError(
                    ErrorKind.TARGET_FAILED,
                    f"event {event.id} came after event {self.last_event_id}",
                )
        if not self.call.started:
            await self.call.start(status, headers)
        await self.call.send_chunk(event.raw)
        self.on_event(self.last_attempt_event_at)
        self.last_attempt_event_at = anyio.current_time()
        self._note_time(self.last_attempt_event_at)
        if event.id is not None:
            self.last_event_id = event.id

    async def finish(self, status: int, headers: HeaderFields) -> None:
        """End the answer as complete."""
        if not self.call.started:
            await self.call.start(status, headers)
        await self.call.finish()

    def _note_time(self, now: float) -> None:
        if self.first_at is None or self.last_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now


def _ignore(previous: float | None) -> None:
    """Take no note of an event."""
