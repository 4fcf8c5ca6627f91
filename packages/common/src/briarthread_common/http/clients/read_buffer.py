"""Reads of a bounded size from the connections of clients."""

import asyncio
from typing import Protocol

READ_BYTES = 16 * 1024
"""Largest read from a connection, as much as most requests have in all."""
SHARED_BUFFER = bytearray(READ_BYTES)
"""Buffer of all connections; what was read is copied before the next read."""


class ReadingProtocol(Protocol):
    """A protocol that takes what was read, and can be told to let others read."""

    def data_received(self, data: bytes) -> None:
        """Take received bytes."""
        ...

    def yield_reading(self) -> None:
        """Read no more before the other connections have been served."""
        ...

    def eof_received(self) -> bool | None:
        """Take the end of what the client sends."""
        ...

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        ...

    def pause_writing(self) -> None:
        """Stop writing until the client has read more."""
        ...

    def resume_writing(self) -> None:
        """Write again."""
        ...


class ReadBuffer(asyncio.BufferedProtocol):
    """
    Read at most READ_BYTES at a time from a connection, on behalf of its protocol.

    A transport reads up to 256 kB at once for an ordinary protocol, and goes on with
    the same connection as long as bytes are there.
    """

    def __init__(self, protocol: ReadingProtocol) -> None:
        self.protocol = protocol
        self.eof_received = protocol.eof_received
        self.connection_lost = protocol.connection_lost
        self.pause_writing = protocol.pause_writing
        self.resume_writing = protocol.resume_writing

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return SHARED_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Hand over what was read; let others read if more is probably there."""
        self.protocol.data_received(bytes(memoryview(SHARED_BUFFER)[:nbytes]))
        if nbytes == READ_BYTES:
            self.protocol.yield_reading()
