"""JSON calls over a channel."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import anyio
import msgspec

from briarthread_common.core.decoding import decode_json
from briarthread_common.core.exceptions import (
    BrokenCallError,
    DecodeError,
    InvalidResponseError,
    RequestError,
)
from briarthread_common.http.channel import Channel, ChannelRequest
from briarthread_common.http.compression import (
    ACCEPT_ENCODING_HEADER,
    CONTENT_ENCODING_HEADER,
    ENCODING,
    compress_body,
    decompress_body,
)

T = TypeVar("T")
JSON_HEADERS = (("content-type", "application/json"),)
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
"""Largest message between processes; a services text of full size is 1 MB."""


async def read_bounded(
    chunks: AsyncIterator[bytes],
    limit: int,
    reserve: Callable[[int], Awaitable[None]] | None = None,
) -> bytes:
    """
    Join a body's chunks; raise InvalidResponseError if they exceed ``limit`` bytes.

    ``reserve`` is awaited with the size of each chunk before the next one is read.
    """
    body = bytearray()
    async for chunk in chunks:
        if len(body) + len(chunk) > limit:
            raise InvalidResponseError(f"answer larger than {limit} bytes")
        if reserve is not None:
            await reserve(len(chunk))
        body += chunk
    return bytes(body)


async def discard_bounded(chunks: AsyncIterator[bytes], limit: int) -> None:
    """Read a body without keeping it; raise an error as read_bounded() does."""
    size = 0
    async for chunk in chunks:
        size += len(chunk)
        if size > limit:
            raise InvalidResponseError(f"answer larger than {limit} bytes")


async def call_json(
    channel: Channel,
    address: str,
    method: str,
    path: str,
    message: object,
    answer_type: type[T],
    timeout: float,
    compressed: bool = False,
) -> T:
    """
    Send a message as JSON and return the decoded answer.

    Raise ChannelError if the call fails, takes longer than ``timeout``
    seconds or is answered with anything but the expected JSON. ``compressed``
    compresses large bodies, which only briarthread's own processes support.
    """
    request = _json_request(address, method, path, message, compressed)
    try:
        with anyio.fail_after(timeout):
            async with channel.stream(request) as response:
                raw = await read_bounded(response.body, MAX_MESSAGE_BYTES)
    except TimeoutError as error:
        raise BrokenCallError(f"no answer from {address} in {timeout} s") from error
    if response.status != 200:
        raise BrokenCallError(f"{address} answered {response.status} to {path}")
    try:
        if response.headers.get("content-encoding") == ENCODING:
            raw = decompress_body(raw, MAX_MESSAGE_BYTES)
        return decode_json(raw, answer_type)
    except (DecodeError, RequestError) as error:
        raise BrokenCallError(f"{address} sent invalid JSON: {error}") from error


def _json_request(
    address: str, method: str, path: str, message: object, compressed: bool
) -> ChannelRequest:
    body = b"" if message is None else msgspec.json.encode(message)
    if not compressed:
        return ChannelRequest(method, address, path, JSON_HEADERS, body)
    headers = (*JSON_HEADERS, ACCEPT_ENCODING_HEADER)
    compressed_body = compress_body(body)
    if compressed_body is not None:
        body, headers = compressed_body, (*headers, CONTENT_ENCODING_HEADER)
    return ChannelRequest(method, address, path, headers, body)
