"""
A target that answers each request with bytes that never end, until the caller closes.

Usage:
  endless_target KIND PACE LISTEN

KIND is one of EndlessKind, PACE "fast" or "trickle". A line is printed when a request
has come and when its connection was closed: its path, the bytes sent and the seconds.
"""

import socket
import sys
import threading
import time
from collections.abc import Iterator
from enum import StrEnum

CHUNK_BYTES = 65536
TRICKLE_SECONDS = 0.05
PLAIN_BODY = b"a whole answer"
OPEN_SECONDS = 60.0
"""Longest time in seconds for which a connection is used, so that no test hangs."""


class EndlessKind(StrEnum):
    """The part of a response that never ends."""

    NO_NEWLINE = "no-newline"
    BLANK_LINES = "blank-lines"
    ONE_FIELD = "one-field"
    MORE_FIELDS = "more-fields"
    INTERIM = "interim-responses"
    CHUNK_SIZE = "chunk-size"
    SMALL_CHUNKS = "small-chunks"
    CHUNK_EXTENSIONS = "chunk-extensions"
    CHUNKS = "chunks"
    TRAILERS = "trailers"
    NO_LENGTH = "no-length"
    PAST_LENGTH = "past-length"
    SECOND_ANSWERS = "second-answers"
    ONE_EVENT = "one-event"
    EMPTY_EVENTS = "empty-events"
    REPEATED_EVENT = "repeated-event"
    REFUSAL = "refusal"


LENGTH = f"Content-Length: {len(PLAIN_BODY)}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
EVENT = b"id: 1\ndata: piece 1\n\n"
PARTS: dict[EndlessKind, tuple[str | None, bytes, bytes]] = {
    EndlessKind.NO_NEWLINE: (None, b"", b"x" * 64),
    EndlessKind.BLANK_LINES: (None, b"", b"\r\n" * 32),
    EndlessKind.ONE_FIELD: (None, b"HTTP/1.1 200 OK\r\nA: ", b"x" * 64),
    EndlessKind.MORE_FIELDS: (None, b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 10),
    EndlessKind.INTERIM: (None, b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    EndlessKind.CHUNK_SIZE: (CHUNKED, b"", b"0" * 64),
    EndlessKind.SMALL_CHUNKS: (CHUNKED, b"", b"1\r\nx\r\n"),
    EndlessKind.CHUNK_EXTENSIONS: (CHUNKED, b"", b"1;" + b"e" * 900 + b"\r\nx\r\n"),
    EndlessKind.CHUNKS: (CHUNKED, b"", b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
    EndlessKind.TRAILERS: (CHUNKED, b"3\r\nend\r\n0\r\n", b"A: b\r\n" * 10),
    EndlessKind.NO_LENGTH: ("", b"", b"x" * 64),
    EndlessKind.PAST_LENGTH: (LENGTH, PLAIN_BODY, b"x" * 64),
    EndlessKind.SECOND_ANSWERS: (
        LENGTH,
        PLAIN_BODY,
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ),
    EndlessKind.ONE_EVENT: (CHUNKED, b"", b"100\r\n" + b"x" * 256 + b"\r\n"),
    EndlessKind.EMPTY_EVENTS: ("", b"", b"\n\n" * 32),
    EndlessKind.REPEATED_EVENT: ("", b"", EVENT),
    EndlessKind.REFUSAL: (CHUNKED, b"", b"100\r\n" + b"x" * 256 + b"\r\n"),
}
"""Header fields of each kind (``None`` if the head is no whole one), what comes once
and what is repeated."""


def build_start(kind: EndlessKind, request_id: str) -> bytes:
    """Return what a response of a kind starts with."""
    fields, once, _ = PARTS[kind]
    if fields is None:
        return once
    status = "503 Full" if kind is EndlessKind.REFUSAL else "200 OK"
    mark = "X-Not-Executed: 1" if kind is EndlessKind.REFUSAL else "X-Server-Stamp: s"
    head = f"HTTP/1.1 {status}\r\n{mark}\r\nX-Request-Id: {request_id}\r\n{fields}\r\n"
    return head.encode() + once


def read_requests(connection: socket.socket) -> Iterator[tuple[str, str]]:
    """Yield the path and the id of each request on a connection."""
    received = b""
    while True:
        while b"\r\n\r\n" not in received:
            chunk = connection.recv(CHUNK_BYTES)
            if not chunk:
                return
            received += chunk
        head, _, received = received.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines)
        while len(received) < int(fields.get("content-length", "0")):
            received += connection.recv(CHUNK_BYTES)
        received = received[int(fields.get("content-length", "0")) :]
        yield first.split(" ")[1], fields.get("x-request-id", "")


def serve(connection: socket.socket, kind: EndlessKind, trickles: bool) -> None:
    """Answer the requests of one connection; the first answer does not end."""
    repeated = PARTS[kind][2]
    piece = repeated if trickles else repeated * (CHUNK_BYTES // len(repeated))
    with connection:
        connection.settimeout(OPEN_SECONDS)
        for path, request_id in read_requests(connection):
            began, sent = time.monotonic(), 0
            print_line(f"request {path}")
            try:
                connection.sendall(build_start(kind, request_id))
                while time.monotonic() < began + OPEN_SECONDS:
                    connection.sendall(piece)
                    sent += len(piece)
                    if trickles:
                        time.sleep(TRICKLE_SECONDS)
            except OSError:
                seconds = time.monotonic() - began
                print_line(f"closed {path} {sent} {seconds:.3f}")
            return


def print_line(text: str) -> None:
    """Print a line at once, so that those of other threads do not come between."""
    sys.stdout.write(f"{text}\n")
    sys.stdout.flush()


def main() -> None:
    """Serve until killed."""
    kind, pace, listen = sys.argv[1:]
    host, _, port = listen.rpartition(":")
    listener = socket.create_server((host, int(port)))
    while True:
        connection, _ = listener.accept()
        arguments = (connection, EndlessKind(kind), pace == "trickle")
        threading.Thread(target=serve, args=arguments, daemon=True).start()


if __name__ == "__main__":
    main()
