"""
Compressed bodies between our own processes.

It answers instances whose links carry 3 Mbit/s and the answers of a target as well:
a configuration with a thousand routes, or a change of a map of 129 ranks, would hold
those up for tenths of a second. Such bodies shrink to a fourth and less.
"""

import zlib

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError

ENCODING = "deflate"
"""The content coding of RFC 9110, 8.4.1.2."""
CONTENT_ENCODING_HEADER = ("content-encoding", ENCODING)
ACCEPT_ENCODING_HEADER = ("accept-encoding", ENCODING)
MIN_COMPRESSED_BYTES = 2048
"""Size from which on a body is compressed: less fits into two packets anyway."""
LEVEL = 1
"""The fastest level; a hundred kilobytes take some two milliseconds."""


def compress_body(body: bytes) -> bytes | None:
    """Return a body compressed, ``None`` where it is too small for that."""
    return zlib.compress(body, LEVEL) if len(body) >= MIN_COMPRESSED_BYTES else None


def decompress_body(body: bytes, limit: int) -> bytes:
    """
    Return a body as it was; raise RequestError if it is broken or over a limit.

    >>> decompress_body(compress_body(b"x" * 5000), limit=5000) == b"x" * 5000
    True
    """
    reader = zlib.decompressobj()
    try:
        whole = reader.decompress(body, limit + 1)
    except zlib.error as error:
        raise RequestError(ErrorKind.BAD_REQUEST, f"broken body: {error}") from error
    if len(whole) > limit:
        raise RequestError(ErrorKind.BODY_TOO_LARGE, f"body is over {limit} bytes")
    if not reader.eof:
        raise RequestError(ErrorKind.BAD_REQUEST, "broken body: it ends short")
    return whole
