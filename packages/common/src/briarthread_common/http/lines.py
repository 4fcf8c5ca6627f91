"""Reading of bodies that consist of lines."""

from collections.abc import AsyncIterator


async def read_lines(body: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the complete lines of a body, without line ends."""
    incomplete = b""
    async for chunk in body:
        *lines, incomplete = (incomplete + chunk).split(b"\n")
        for line in lines:
            yield line
