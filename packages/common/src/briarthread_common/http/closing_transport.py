"""Transport whose close does not wait for a client that has stopped reading."""

import asyncio
from typing import Any

UNREAD_CLOSE_SECONDS = 5.0
"""Time after a close in which the client may still read what is buffered for it."""
WRITE_BUFFER_BYTES = 16 * 1024
"""Unsent bytes above which a connection's sender has to wait."""


class ClosingTransport:
    """
    Wrap a connection's transport; a close aborts it if its data stays unread.

    A transport that is closed keeps its unsent data until the client reads it, and a
    client that keeps the connection without reading delays that without any limit.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.write = transport.write
        self.is_closing = transport.is_closing
        self.get_write_buffer_size = transport.get_write_buffer_size
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)

    def close(self) -> None:
        """Close the connection, and abort it later if there is unsent data."""
        if self.is_closing():
            return
        self.transport.close()
        if self.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_later(UNREAD_CLOSE_SECONDS, self.transport.abort)
