"""One call that a process answers."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

import anyio
import msgspec

from briarthread_common.core.error_kind import ErrorKind
from briarthread_common.core.exceptions import RequestError
from briarthread_common.http.compression import (
    CONTENT_ENCODING_HEADER,
    ENCODING,
    compress_body,
    decompress_body,
)
from briarthread_common.http.problem import problem_body, problem_headers

T = TypeVar("T")
Headers = Iterable[tuple[str, str]]


REPLY_TIMEOUT_SECONDS = 5.0
"""Longest time that a slow reader holds a whole answer up."""


class CallerDisconnected(Exception):  # noqa: N818
    """The other side hung up before its answer was complete."""


class Call:
    """
    Wrap one ASGI call: its head, its body and the answer to it.

    ``started`` says that the answer's head was sent, ``finished`` that its
    end was. With ``close_connection`` the connection takes no call after this one. Header
    names are lower case; a header given twice is refused, because two readers
    could each take another one of the two.
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
        """Return the path as the caller escaped it."""
        return self.scope["raw_path"].decode("latin-1")

    @property
    def raw_target(self) -> str:
        """Return path and query as the caller wrote them."""
        return f"{self.raw_path}?{self.query}" if self.query else self.raw_path

    @property
    def header_fields(self) -> list[tuple[str, str]]:
        """Return all headers in order, names in lower case."""
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.scope["headers"]
        ]

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers by lower-case name; raise for ambiguous ones."""
        found: dict[str, str] = {}
        for raw_name, raw_value in self.scope["headers"]:
            name = raw_name.decode("latin-1")
            if name in found:
                raise RequestError(ErrorKind.BAD_REQUEST, f"header {name} given twice")
            found[name] = raw_value.decode("latin-1")
        if "content-length" in found and "transfer-encoding" in found:
            raise RequestError(ErrorKind.BAD_REQUEST, "body has two lengths")
        return found

    def _says(self, name: bytes, value: str) -> bool:
        return (name, value.encode()) in self.scope["headers"]

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body; raise RequestError past ``limit`` bytes."""
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
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)

    async def read_json(self, message_type: type[T], limit: int) -> T:
        """Return the body as a typed message; raise RequestError otherwise."""
        raw = await self.read_body(limit)
        if self._says(b"content-encoding", ENCODING):
            raw = decompress_body(raw, limit)
        try:
            return msgspec.json.decode(raw, type=message_type)
        except msgspec.MsgspecError as error:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"broken JSON: {error}"
            ) from error

    async def wait_for_disconnect(self) -> None:
        """Return when the other side has hung up."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel a scope when the other side has hung up."""
        await self.wait_for_disconnect()
        scope.cancel()

    async def reply(self, status: int, body: bytes, headers: Headers = ()) -> None:
        """Send a whole answer; once begun, no deadline cuts it off."""
        with anyio.move_on_after(REPLY_TIMEOUT_SECONDS, shield=True):
            await self.start(status, [*headers, ("content-length", str(len(body)))])
            await self.send({"type": "http.response.body", "body": body})
            self.finished = True

    async def reply_json(self, message: object, status: int = 200) -> None:
        """Send a message as JSON, compressed for a caller that takes that."""
        body = msgspec.json.encode(message)
        fields = [("content-type", "application/json")]
        takes = self._says(b"accept-encoding", ENCODING)
        body_compressed = compress_body(body) if takes else None
        if body_compressed is not None:
            body, fields = body_compressed, [*fields, CONTENT_ENCODING_HEADER]
        await self.reply(status, body, fields)

    async def reply_error(
        self, error: RequestError, status: int, headers: Headers = ()
    ) -> None:
        """Send a failed request's problem+json."""
        request_id = dict(headers).get("briarthread-request", "")
        body = problem_body(error, request_id)
        await self.reply(status, body, [*problem_headers(error), *headers])

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in chunks."""
        self.started = True
        encoded = [(name.encode(), value.encode("latin-1")) for name, value in headers]
        if self.close_connection:
            encoded.append((b"connection", b"close"))
        await self.send(
            {"type": "http.response.start", "status": status, "headers": encoded}
        )

    async def send_chunk(self, chunk: bytes) -> None:
        """Send one part of the body."""
        await self.send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self) -> None:
        """End a body sent in chunks; only now does it count as whole."""
        await self.send({"type": "http.response.body", "body": b""})
        self.finished = True
