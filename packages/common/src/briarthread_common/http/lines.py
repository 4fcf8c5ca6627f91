"""Bodies that are made of lines."""

from collections.abc import AsyncIterator


async def read_lines(body: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Give the whole lines of a body, without their ends."""
    rest = b""
    async for chunk in body:
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            yield line
