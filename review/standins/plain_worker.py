"""Stand-in for a worker of a plain service, as PROTOCOL.md describes it."""

import asyncio
import time

from small_http import Request, reply


class PlainWorker:
    """Run requests that name this worker or none, and reject all others with 421."""

    def __init__(self, name: str, service: str, record) -> None:
        self.name = name
        self.service = service
        self.record = record
        self.runs: list[Request] = []
        self.run_at: list[float] = []
        self.row: dict = {}
        self.work_seconds = 0.01
        self.version = 1

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        headers = request.headers
        request_id = headers.get("x-request-id", "")
        echo = (("X-Request-Id", request_id),)
        if not request_id:
            await reply(writer, 400, b"", (("X-Not-Executed", "1"),))
            return
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            self.record(f"worker {self.name} rejects {request_id}: 421")
            await reply(writer, 421, b"", (*echo, ("X-Not-Executed", "1")))
            return
        if headers.get("x-expect-version", str(self.version)) != str(self.version):
            self.record(f"worker {self.name} rejects {request_id}: 421, other version")
            await reply(writer, 421, b"", (*echo, ("X-Not-Executed", "1")))
            return
        self.runs.append(request)
        self.run_at.append(time.monotonic())
        self.record(
            f"worker {self.name} ({self.service}) runs {request_id}"
            f" {request.method} {request.target}"
            f" tenant={headers.get('x-tenant', '-')} body={request.body!r}"
        )
        await asyncio.sleep(self.work_seconds)
        body = f"{self.name} {request_id}".encode()
        stamp = ("X-Server-Stamp", f"{self.name}.{request_id}")
        load = ("X-Server-Load", "1,0,6")
        await reply(writer, 200, body, (*echo, stamp, load))
