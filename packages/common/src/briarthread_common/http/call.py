"""Server side of one HTTP call."""

import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

import anyio
import msgspec

from briarthread_common.core.decoding import decode_json
from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import DecodeError, RequestError
from briarthread_common.http.compression import (
    CONTENT_ENCODING_HEADER,
    ENCODING,
    compress_body,
    decompress_body,
)
from briarthread_common.http.problem import problem_body, problem_headers

T = TypeVar("T")
Headers = Iterable[tuple[str, str]]


EMPTY_QUERY = "briarthread.empty_query"
"""Key of an ASGI scope that is true for a target that ends with a question mark."""
MEMORY_ROOM = "briarthread.memory_room"
"""Key of an ASGI scope that has a function. It returns the bytes for which there is
memory beside what the clients of the address hold."""
LIST_HEADERS = frozenset(
    {
        "accept",
        "accept-charset",
        "accept-encoding",
        "accept-language",
        "baggage",
        "cache-control",
        "connection",
        "content-language",
        "forwarded",
        "if-match",
        "if-none-match",
        "link",
        "pragma",
        "prefer",
        "te",
        "tracestate",
        "trailer",
        "via",
        "warning",
        "x-forwarded-for",
    }
)
"""
Headers of requests whose values are lists, so that several lines mean the same as one.

They are those of RFC 9110 and RFC 9111, and of W3C's Baggage and Trace Context.
"""
DECODING_COPIES = 4
"""Bytes that a compressed message takes for each byte of it while it is decompressed
and decoded."""
REPLY_TIMEOUT_SECONDS = 5.0
"""Time limit for sending a complete response to a slow client."""

REPLY_CHUNK_BYTES = 64 * 1024
"""Largest part of a response that is passed to the server's write buffer at a time."""
MIN_READ_BYTES_PER_SECOND = 64 * 1024
"""Rate below which a client reads a response too slowly: a sixth of a 3 Mbit/s link."""

DISCONNECT_LOOP_ITERATIONS = 3
"""Iterations of the event loop until a disconnect that arrived with its request is
known: one each to read it, to close the connection and to wake the waiting task."""


class CallerDisconnected(Exception):  # noqa: N818
    """The client disconnected before the request or the response was complete."""


class Call:
    """
    Wrap one ASGI call: the request's head and body, and the response.

    ``started`` is true once the response's head was sent, ``finished`` once its
    body was sent completely. ``close_connection`` closes the connection after
    this call. Header names are lower case. A repeated header is rejected, unless it is
    one of LIST_HEADERS, because two components could each use a different one of its
    values.
    """

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query: str = scope.get("query_string", b"").decode("latin-1")
        self.started = False
        self.finished = False
        self.close_connection = False

    @property
    def raw_path(self) -> str:
        """Return the path with the caller's percent-encoding."""
        return self.scope["raw_path"].decode("latin-1")

    @property
    def raw_target(self) -> str:
        """Return the path and the query as received, with an empty query too."""
        if self.query or self.scope.get(EMPTY_QUERY, False):
            return f"{self.raw_path}?{self.query}"
        return self.raw_path

    @property
    def header_fields(self) -> list[tuple[str, str]]:
        """Return all headers in order, with lower-case names."""
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.scope["headers"]
        ]

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers by lower-case name; raise RequestError if ambiguous."""
        by_name: dict[str, str] = {}
        for raw_name, raw_value in self.scope["headers"]:
            name = raw_name.decode("latin-1")
            if name in by_name:
                if name not in LIST_HEADERS:
                    raise RequestError(ErrorKind.BAD_REQUEST, f"repeated header {name}")
                by_name[name] += f", {raw_value.decode('latin-1')}"
                continue
            by_name[name] = raw_value.decode("latin-1")
        if "content-length" in by_name and "transfer-encoding" in by_name:
            raise RequestError(
                ErrorKind.BAD_REQUEST, "both content-length and transfer-encoding given"
            )
        return by_name

    def _has_header(self, name: bytes, value: str) -> bool:
        return (name, value.encode()) in self.scope["headers"]

    async def read_body(
        self, limit: int, reserve: Callable[[int], None] | None = None
    ) -> bytes:
        """
        Return the body; raise RequestError if it exceeds ``limit`` bytes.

        ``reserve`` is called with the size of each part before the next one is read.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnected
            part = message.get("body", b"")
            size += len(part)
            if size > limit:
                raise RequestError(
                    ErrorKind.BODY_TOO_LARGE, f"body is over {limit} bytes"
                )
            if reserve is not None:
                reserve(len(part))
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)

    async def read_json(self, message_type: type[T], limit: int) -> T:
        """Decode the JSON body; raise RequestError if it is invalid."""
        raw = await self.read_body(limit)
        if self._has_header(b"content-encoding", ENCODING):
            raw = self._decompress(raw, limit)
        try:
            return decode_json(raw, message_type)
        except DecodeError as error:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"invalid JSON: {error}"
            ) from error

    def _memory_room(self) -> float:
        """Return the bytes for which there is memory."""
        room: Callable[[], float] | None = self.scope.get(MEMORY_ROOM)
        return math.inf if room is None else room()

    def _decompress(self, raw: bytes, limit: int) -> bytes:
        """Return a decompressed body; raise RequestError if there is no room for it."""
        room = self._memory_room() / DECODING_COPIES
        if room >= limit:
            return decompress_body(raw, limit)
        try:
            return decompress_body(raw, int(room))
        except RequestError as error:
            if error.kind is not ErrorKind.BODY_TOO_LARGE:
                raise
            reason = f"no memory for a body of over {room:.0f} bytes"
            raise RequestError(ErrorKind.OVERLOADED, reason) from error

    async def wait_for_disconnect(self) -> None:
        """Return once the client has disconnected."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        """
        Cancel a scope once the client has disconnected before the response's end.

        The server reports the end of a complete response as a disconnect, too. What
        follows the response, such as recording it, must not be cancelled.
        """
        await self.wait_for_disconnect()
        if not self.finished:
            scope.cancel()

    async def run_until_disconnect(self, run: Callable[[], Awaitable[None]]) -> bool:
        """
        Run a function, and cancel it once the client has disconnected.

        Return whether it ran to its end. After a pause of this process the request and
        the end of its connection may arrive together; the function is not called then.
        """
        completed = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.cancel_on_disconnect, tasks.cancel_scope)
            for _ in range(DISCONNECT_LOOP_ITERATIONS):
                await anyio.lowlevel.checkpoint()
            await run()
            completed = True
            tasks.cancel_scope.cancel()
        return completed

    async def reply(self, status: int, body: bytes, headers: Headers = ()) -> None:
        """
        Send a complete response.

        The send is shielded from cancellation, so that a deadline can't truncate
        a response that was started; it ends after REPLY_TIMEOUT_SECONDS.
        """
        with anyio.move_on_after(REPLY_TIMEOUT_SECONDS, shield=True):
            await self.start(status, [*headers, ("content-length", str(len(body)))])
            await self.send({"type": "http.response.body", "body": body})
            self.finished = True

    async def reply_in_chunks(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """
        Send a complete response only as fast as the client reads it.

        The response stays unfinished if the client accepts nothing for
        REPLY_TIMEOUT_SECONDS or reads below MIN_READ_BYTES_PER_SECOND. The send is
        shielded from cancellation like that of reply().
        """
        longest = REPLY_TIMEOUT_SECONDS + len(body) / MIN_READ_BYTES_PER_SECOND
        with anyio.move_on_after(longest, shield=True):
            await self.start(status, [*headers, ("content-length", str(len(body)))])
            for begin in range(0, max(len(body), 1), REPLY_CHUNK_BYTES):
                end = begin + REPLY_CHUNK_BYTES
                with anyio.move_on_after(REPLY_TIMEOUT_SECONDS) as scope:
                    await self._send_part(body[begin:end], end < len(body))
                if scope.cancelled_caught:
                    return
            self.finished = True

    async def _send_part(self, part: bytes, more_body: bool) -> None:
        await self.send(
            {"type": "http.response.body", "body": part, "more_body": more_body}
        )

    async def reply_json(self, message: object, status: int = 200) -> None:
        """
        Send a message as JSON, compressed if the caller accepts that.

        Raise RequestError if there is no memory for one that the client may not read.
        """
        body = msgspec.json.encode(message)
        if len(body) > self._memory_room():
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "no memory for the answer")
        fields = [("content-type", "application/json")]
        accepted = self._has_header(b"accept-encoding", ENCODING)
        compressed = compress_body(body) if accepted else None
        if compressed is not None:
            body, fields = compressed, [*fields, CONTENT_ENCODING_HEADER]
        await self.reply(status, body, fields)

    async def reply_error(
        self, error: RequestError, status: int, headers: Headers = ()
    ) -> None:
        """Send a failed request's problem+json response."""
        request_id = dict(headers).get("briarthread-request", "")
        body = problem_body(error, request_id)
        await self.reply(status, body, [*problem_headers(error), *headers])

    async def start(self, status: int, headers: Headers) -> None:
        """Send the response's status and headers; the body follows in chunks."""
        self.started = True
        encoded = [(name.encode(), value.encode("latin-1")) for name, value in headers]
        if self.close_connection:
            encoded.append((b"connection", b"close"))
        await self.send(
            {"type": "http.response.start", "status": status, "headers": encoded}
        )

    async def send_chunk(self, chunk: bytes) -> None:
        """Send one chunk of the body."""
        await self._send_part(chunk, True)

    async def finish(self) -> None:
        """Terminate a body sent in chunks; without this it counts as truncated."""
        await self.send({"type": "http.response.body", "body": b""})
        self.finished = True
