"""
Compression of bodies between briarthread's own processes.

Some instances have links of 3 Mbit/s, which also carry the responses of a target.
Without compression, a configuration with a thousand routes or a change of a map of
129 ranks would delay those responses by tenths of a second. Compression reduces such
bodies to a quarter of their size or less.
"""

import zlib

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError

ENCODING = "deflate"
"""The content coding of RFC 9110, 8.4.1.2."""
CONTENT_ENCODING_HEADER = ("content-encoding", ENCODING)
ACCEPT_ENCODING_HEADER = ("accept-encoding", ENCODING)
MIN_COMPRESSED_BYTES = 2048
"""Minimum size of a body that is compressed; a smaller one fits into two packets."""
COMPRESSION_LEVEL = 1
"""The fastest level; it compresses 100 kB in about 2 ms."""


def compress_body(body: bytes) -> bytes | None:
    """Return the compressed body, or ``None`` if it is too small to compress."""
    return (
        zlib.compress(body, COMPRESSION_LEVEL)
        if len(body) >= MIN_COMPRESSED_BYTES
        else None
    )


def decompress_body(body: bytes, limit: int) -> bytes:
    """
    Return the decompressed body; raise RequestError if invalid or over ``limit``.

    >>> decompress_body(compress_body(b"x" * 5000), limit=5000) == b"x" * 5000
    True
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(body, limit + 1)
    except zlib.error as error:
        raise RequestError(ErrorKind.BAD_REQUEST, f"broken body: {error}") from error
    if len(decompressed) > limit:
        raise RequestError(ErrorKind.BODY_TOO_LARGE, f"body is over {limit} bytes")
    if not decompressor.eof:
        raise RequestError(ErrorKind.BAD_REQUEST, "broken body: truncated")
    return decompressed
