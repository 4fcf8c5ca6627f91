"""Bytes that a client has sent for one request."""

from dataclasses import dataclass

from briarthread_common.http.clients.client_bounds import EMPTY_LINE_BYTES, ClientBounds
from briarthread_common.http.clients.client_refusal import ClientRefusal

FIELD_BYTES = 640
"""Bytes of the objects of a header field while its request is served."""
COPIES = 2
"""Number of copies of a head or a body, for a moment."""


@dataclass(slots=True, eq=False)
class RequestMeter:
    """
    Count what has been received of a request.

    ``framing_bytes`` are those of a body that are not its content: the sizes and
    extensions of chunks, and trailers; ``pending_bytes`` are those since the last
    content, which the parser may keep. ``empty_bytes`` follow the request.

    >>> meter = RequestMeter(head_bytes=30_000)
    >>> meter.fault(ClientBounds(header_bytes=16_384))
    <ClientRefusal.HEAD_TOO_LARGE: 'head-too-large'>
    """

    empty_bytes: int = 0
    head_bytes: int = 0
    fields: int = 0
    body_bytes: int = 0
    framing_bytes: int = 0
    pending_bytes: int = 0
    is_answered: bool = False

    def note_body(self, received: int, content: int) -> None:
        """Count bytes of a body, of which some are content."""
        framing = received - content
        self.body_bytes += content
        self.framing_bytes += framing
        self.pending_bytes = 0 if content else self.pending_bytes + framing

    def note_answered(self) -> None:
        """Record that the head is no longer kept, nor what comes of the body."""
        self.head_bytes = self.fields = 0
        self.is_answered = True

    def held_bytes(self, counts_body: bool) -> int:
        """
        Return about how much memory the request takes.

        >>> RequestMeter(head_bytes=500, fields=14).held_bytes(counts_body=True)
        9960
        """
        size = COPIES * self.head_bytes + FIELD_BYTES * self.fields
        if counts_body and not self.is_answered:
            size += COPIES * self.body_bytes
        return size + self.pending_bytes

    def fault(self, bounds: ClientBounds) -> ClientRefusal | None:
        """Return which bound is exceeded."""
        if self.empty_bytes > EMPTY_LINE_BYTES:
            return ClientRefusal.EMPTY_LINES
        if self.head_bytes > bounds.head_bytes:
            return ClientRefusal.HEAD_TOO_LARGE
        if self.is_answered and self.body_bytes > bounds.body_bytes:
            return ClientRefusal.BODY_AFTER_ANSWER
        if self.pending_bytes > bounds.header_bytes:
            return ClientRefusal.TOO_MUCH_FRAMING
        if self.framing_bytes > bounds.framing_bytes(self.body_bytes):
            return ClientRefusal.TOO_MUCH_FRAMING
        return None
