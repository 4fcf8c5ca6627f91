"""What clients send that are not under anyone's control."""

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from briarthread_common.spread.feed_replicator import EXCHANGE_PATH

BATCH_BYTES = 32 * 1024
"""Bytes of small pieces that are sent at a time."""
REQUEST_LINE = b"POST /list/1 HTTP/1.1\r\n"
HOST = b"host: salon.example\r\nx-credential: key-1\r\n"
CHUNKED_HEAD = REQUEST_LINE + HOST + b"transfer-encoding: chunked\r\n\r\n"
SIZED_HEAD = REQUEST_LINE + HOST + b"content-length: 999999999\r\n\r\n"
PEER_BODY_BYTES = 2 * 1024 * 1024
PEER_HEAD = b"POST %s HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % (
    EXCHANGE_PATH.encode(),
    PEER_BODY_BYTES,
)
COMPRESSED_BODY = zlib.compress(b" " * 60 * 1024 * 1024)
"""A body of some 60 KB that is 60 MiB when it is decompressed."""
COMPRESSED_HEAD = (
    b"POST %s HTTP/1.1\r\nhost: a\r\ncontent-encoding: deflate\r\n"
    b"content-length: %d\r\n\r\n" % (EXCHANGE_PATH.encode(), len(COMPRESSED_BODY))
)
REQUEST_FIELDS = 2400
"""Number of small fields in a head that the operator's limit of 16 KiB allows."""
SMALL_REQUEST = b"GET /absent HTTP/1.1\r\nhost: a\r\n\r\n"


class ClientKind(StrEnum):
    """The point of a connection at which a client does not behave."""

    NOTHING = "nothing"
    EMPTY_LINES = "empty-lines"
    FIRST_LINE = "first-line"
    FIELD_NAME = "field-name"
    FIELD_VALUE = "field-value"
    SMALL_FIELDS = "small-fields"
    BODY = "body"
    CHUNKS = "chunks"
    SMALL_CHUNKS = "small-chunks"
    CHUNK_SIZE = "chunk-size"
    CHUNK_EXTENSION = "chunk-extension"
    TRAILER_VALUE = "trailer-value"
    TRAILER_FIELDS = "trailer-fields"
    PEER_BODY = "peer-body"
    COMPRESSED_BODY = "compressed-body"
    REQUESTS = "requests"
    LARGE_REQUESTS = "large-requests"
    LONG_TEXTS = "long-texts"
    AFTER_CLOSE = "after-close"


@dataclass(frozen=True, slots=True)
class ClientBytes:
    """The bytes of one kind: what comes first, and the pieces that follow."""

    begin: bytes
    piece: Callable[[int], bytes]

    def batch(self, number: int, size: int) -> bytes:
        """Return pieces of that many bytes at least; ``number`` makes them differ."""
        parts: list[bytes] = []
        length = 0
        while length < size:
            parts.append(self.piece(number + len(parts)))
            length += len(parts[-1])
        return b"".join(parts)


def _always(piece: bytes) -> Callable[[int], bytes]:
    return lambda _: piece


def _field(number: int) -> bytes:
    """Return a field of a few bytes whose name is not used again."""
    return b"%x:\r\n" % number


def _large_request() -> bytes:
    """Return a request whose head is as large as allowed, in fields of a few bytes."""
    fields = b"".join(_field(number) for number in range(REQUEST_FIELDS))
    return b"GET /list/1 HTTP/1.1\r\n" + HOST + fields + b"\r\n"


def _long_texts(number: int) -> bytes:
    """Return a request with a path, a host and an id that are as long as allowed."""
    path, host, request_id = b"a" * 7000, b"b" * 7000, b"c" * 7000
    head = b"GET /%d%s HTTP/1.1\r\nhost: %s\r\nx-request-id: %s\r\n\r\n"
    return head % (number, path, host, request_id)


CLIENT_BYTES = {
    ClientKind.NOTHING: ClientBytes(b"", _always(b"")),
    ClientKind.EMPTY_LINES: ClientBytes(b"", _always(b"\r\n")),
    ClientKind.FIRST_LINE: ClientBytes(b"GET /", _always(b"a" * 1024)),
    ClientKind.FIELD_NAME: ClientBytes(REQUEST_LINE + HOST, _always(b"a" * 1024)),
    ClientKind.FIELD_VALUE: ClientBytes(
        REQUEST_LINE + HOST + b"x-a: ", _always(b"a" * 1024)
    ),
    ClientKind.SMALL_FIELDS: ClientBytes(REQUEST_LINE + HOST, _field),
    ClientKind.BODY: ClientBytes(SIZED_HEAD, _always(b"a" * 1024)),
    ClientKind.CHUNKS: ClientBytes(
        CHUNKED_HEAD, _always(b"400\r\n" + b"a" * 1024 + b"\r\n")
    ),
    ClientKind.SMALL_CHUNKS: ClientBytes(CHUNKED_HEAD, _always(b"1\r\na\r\n")),
    ClientKind.CHUNK_SIZE: ClientBytes(CHUNKED_HEAD, _always(b"0" * 1024)),
    ClientKind.CHUNK_EXTENSION: ClientBytes(CHUNKED_HEAD + b"1;", _always(b"a" * 1024)),
    ClientKind.TRAILER_VALUE: ClientBytes(
        CHUNKED_HEAD + b"0\r\nx-a: ", _always(b"a" * 1024)
    ),
    ClientKind.TRAILER_FIELDS: ClientBytes(CHUNKED_HEAD + b"0\r\n", _field),
    ClientKind.PEER_BODY: ClientBytes(PEER_HEAD, _always(b"a" * 1024)),
    ClientKind.COMPRESSED_BODY: ClientBytes(
        b"", _always(COMPRESSED_HEAD + COMPRESSED_BODY)
    ),
    ClientKind.LARGE_REQUESTS: ClientBytes(b"", _always(_large_request())),
    ClientKind.REQUESTS: ClientBytes(b"", _always(SMALL_REQUEST)),
    ClientKind.LONG_TEXTS: ClientBytes(b"", _long_texts),
    ClientKind.AFTER_CLOSE: ClientBytes(
        REQUEST_LINE + HOST + b"connection: close\r\ncontent-length: 0\r\n\r\n",
        _always(b"a" * 1024),
    ),
}
