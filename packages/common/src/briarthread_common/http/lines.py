"""Reading of bodies that consist of lines."""

from collections.abc import AsyncIterator

from briarthread_common.core.exceptions import InvalidResponseError

MAX_LINE_BYTES = 1024 * 1024
"""Longest line in bytes; a report of full size has some hundred kilobytes."""


async def read_lines(body: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """
    Yield the complete lines of a body, without line ends.

    Raise InvalidResponseError for a line longer than MAX_LINE_BYTES.
    """
    incomplete = bytearray()
    async for chunk in body:
        first, *more = chunk.split(b"\n")
        incomplete += first
        for line in more:
            yield bytes(incomplete)
            incomplete = bytearray(line)
        if len(incomplete) > MAX_LINE_BYTES:
            raise InvalidResponseError(f"line longer than {MAX_LINE_BYTES} bytes")
