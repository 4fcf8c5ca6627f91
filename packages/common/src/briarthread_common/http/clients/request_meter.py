"""Bytes that a client has sent for one request."""

from dataclasses import dataclass

from briarthread_common.http.clients.client_bounds import ClientBounds
from briarthread_common.http.clients.client_refusal import ClientRefusal


@dataclass(slots=True, eq=False)
class RequestMeter:
    """
    Count what has been received of a request.

    ``framing_bytes`` are those of a body that are not its content: the sizes and
    extensions of chunks, and trailers.

    >>> meter = RequestMeter(head_bytes=30_000)
    >>> meter.fault(ClientBounds(header_bytes=16_384))
    <ClientRefusal.HEAD_TOO_LARGE: 'head-too-large'>
    """

    head_bytes: int = 0
    body_bytes: int = 0
    framing_bytes: int = 0

    def fault(self, bounds: ClientBounds) -> ClientRefusal | None:
        """Return which bound is exceeded."""
        if self.head_bytes > bounds.head_bytes:
            return ClientRefusal.HEAD_TOO_LARGE
        if self.framing_bytes > bounds.framing_bytes(self.body_bytes):
            return ClientRefusal.TOO_MUCH_FRAMING
        return None
