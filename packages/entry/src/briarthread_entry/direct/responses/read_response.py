"""Reading of a buffered response within the memory budget."""

from collections.abc import AsyncIterator, Callable

from briarthread_common.core.decoding import read_whole_number
from briarthread_common.http.channel import ChannelResponse
from briarthread_common.http.channel_calls import read_bounded
from briarthread_entry.direct.requests.direct_request import DirectRequest

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Largest response of a plain service that is buffered until it is complete."""
PROGRESS_BYTES = 16 * 1024
"""Bytes of a body by which a target shows that it goes on answering. A target that
sends fewer in the time after which one counts as silent is of no use to a caller."""
NOT_MODIFIED = 304
"""A status whose content length is that of a body that is not sent."""


async def read_response(
    request: DirectRequest,
    response: ChannelResponse,
    on_progress: Callable[[], None],
) -> bytes:
    """
    Return the body of a response.

    Its bytes are reserved first, those of a body of unknown length as they arrive.
    While there is no memory for them the target has to wait. ``on_progress`` is called
    after each PROGRESS_BYTES.
    """
    body = _count_progress(response.body, on_progress)
    held = request.held
    if held is None or not held.is_bounded:
        return await read_bounded(body, MAX_RESPONSE_BYTES)

    async def reserve(size: int) -> None:
        await held.reserve_waiting(size, request.id)

    length = _stated_length(request, response)
    if length is None:
        return await read_bounded(body, MAX_RESPONSE_BYTES, reserve)
    await reserve(min(length, MAX_RESPONSE_BYTES))
    return await read_bounded(body, MAX_RESPONSE_BYTES)


async def _count_progress(
    chunks: AsyncIterator[bytes], on_progress: Callable[[], None]
) -> AsyncIterator[bytes]:
    size = 0
    async for chunk in chunks:
        size += len(chunk)
        if size >= PROGRESS_BYTES:
            size = 0
            on_progress()
        yield chunk


def _stated_length(request: DirectRequest, response: ChannelResponse) -> int | None:
    """Return the length of the body, ``None`` if it is not known."""
    if request.method == "HEAD" or response.status == NOT_MODIFIED:
        return 0
    return read_whole_number(response.headers.get("content-length", ""))
