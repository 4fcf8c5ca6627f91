"""A small HTTP/1.1 server and client for the stand-ins, on the standard library."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Request:
    """One request as received; header names are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Response:
    """One response; ``complete`` is false if the connection ended before its end."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_size(reader: asyncio.StreamReader) -> int:
    """Return the size of the next chunk."""
    line = await reader.readuntil(b"\r\n")
    return int(line.split(b";")[0], 16)


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], gap: float | None = None
) -> bytes:
    """Return a body with a length or in chunks, with at most ``gap`` before each."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            async with asyncio.timeout(gap):
                size = await _read_size(reader)
            if not size:
                break
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def reply(
    writer: asyncio.StreamWriter,
    status: int,
    body: object,
    headers: tuple[tuple[str, str], ...] = (),
) -> None:
    """Send a response with a length; a body that is no bytes is sent as JSON."""
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(raw)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + raw)
    await writer.drain()


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests on kept connections until the server is closed."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await handler(Request(method, target, headers, body), writer)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port)


async def call(
    address: str,
    method: str,
    target: str,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes | None = None,
    timeout: float = 5.0,
    gap: float | None = None,
) -> Response:
    """
    Send one request on a new connection and return what came back.

    ``gap`` bounds the wait for the head and the pauses in a body that comes in chunks.
    """
    host, _, port = address.rpartition(":")
    response = Response(0)
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers]
                if body is not None:
                    lines.append(f"Content-Length: {len(body)}")
                writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")
                writer.write(body or b"")
                await writer.drain()
                async with asyncio.timeout(gap):
                    first, response.headers = await read_head(reader)
                response.status = int(first.split(" ")[1])
                response.body = await read_body(reader, response.headers, gap)
                response.complete = True
            finally:
                writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    return response
