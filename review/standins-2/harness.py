"""A small deployment on loopback: store, plain workers, clients, processes."""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
PAGE_ROWS = 500
HEARTBEAT_S = 1.2
"""heartbeatMs of the deployment's sheet."""


class Record:
    """The file that holds what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def add(self, *words: object) -> None:
        """Write a line with the seconds since the start."""
        seconds = time.monotonic() - self.began
        text = " ".join(str(word) for word in words)
        self.file.write(f"{seconds:8.3f} {text}\n")
        self.file.flush()


def free_port(host: str = HOST) -> int:
    """
    Return a port that no process uses now.

    It lies below those that the system gives to outgoing connections, which could
    take it before the process that is started listens on it.
    """
    while True:
        port = random.randrange(16_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port


@dataclass
class Message:
    """A request or a response that was read completely."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks to its end."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with its body."""
    first, headers = await read_head(reader)
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first, headers, body)


def encode_response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return a complete response."""
    fields = {"content-length": str(len(body)), **(headers or {})}
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reply_json(value: object, status: int = 200) -> bytes:
    """Return a response with a JSON body."""
    body = json.dumps(value).encode()
    return encode_response(status, body, {"content-type": "application/json"})


class Server:
    """An HTTP server; subclasses answer each request with complete bytes."""

    def __init__(self, host: str = HOST) -> None:
        self.host = host
        self.address = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port, a free one by default."""
        self.server = await asyncio.start_server(self._serve, self.host, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await read_message(reader)
                answer = await self.answer(request, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Return the response, ``None`` to close the connection without one."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


@dataclass
class Row:
    """A version of a row; a ``value`` of ``None`` marks a dropped one."""

    table: str
    key: str
    value: str | None
    ver: int


class Store(Server):
    """The platform's metadata store, as PROTOCOL.md tells it."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str], Row] = {}
        self.history: list[Row] = []
        self.ver = 0
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator or a worker would; return its version."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._set(table, key, base64.b64encode(raw).decode())

    def refresh(self, key: str) -> None:
        """Write a worker's row again as its heartbeat, with the next ``seq``."""
        row = self.rows.get(("servers", key))
        if row is not None and row.value is not None:
            value = json.loads(base64.b64decode(row.value))
            self.put("servers", key, {**value, "seq": value["seq"] + 1})

    def drop(self, table: str, key: str) -> int:
        """Remove a row."""
        return self._set(table, key, None)

    def _set(self, table: str, key: str, value: str | None) -> int:
        self.ver += 1
        row = Row(table, key, value, self.ver)
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = row
        self.history.append(row)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return self.ver

    def _page(self, rows: list[Row], truncated: bool = False) -> bytes:
        encoded = []
        for row in rows:
            fields = {"table": row.table, "part": "", "key": row.key, "ver": row.ver}
            more = {"tombstone": True} if row.value is None else {"value": row.value}
            encoded.append({**fields, **more})
        now = int(time.monotonic() * 1000)
        page = {"rows": encoded, "ver": self.ver, "nowMs": now, "truncated": truncated}
        return reply_json(page)

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Answer a call."""
        await asyncio.sleep(0.004)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match url.path:
            case "/api/rows-get":
                return self._get(query)
            case "/api/rows-feed":
                return await self._feed(query)
            case "/api/rows-tx":
                return self._transact(json.loads(request.body))
        return encode_response(404)

    def _get(self, query: dict[str, str]) -> bytes:
        first, end = query.get("from", ""), query.get("target")
        rows = sorted(
            (
                row
                for row in self.rows.values()
                if row.table == query["table"]
                and row.key >= first
                and (end is None or row.key < end)
            ),
            key=lambda row: row.key.encode(),
        )
        return self._page(rows[:PAGE_ROWS], len(rows) > PAGE_ROWS)

    async def _feed(self, query: dict[str, str]) -> bytes:
        after, until = int(query["after"]), time.monotonic()
        until += int(query["waitMs"]) / 1000
        while not (rows := self._changes(query["table"], after)):
            left = until - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        return self._page(rows)

    def _changes(self, table: str, after: int) -> list[Row]:
        newest = {
            row.key: row
            for row in self.history
            if row.table == table and row.ver > after
        }
        return sorted(newest.values(), key=lambda row: row.ver)

    def _transact(self, transaction: dict) -> bytes:
        for row in transaction["setKeys"]:
            if row["table"] in ("op", "servers"):
                return encode_response(403)
        for expected in transaction.get("expectedRev", []):
            row = self.rows.get((expected["table"], expected["key"]))
            if (row.ver if row else 0) != expected["ver"]:
                return reply_json({"rows": []}, 412)
        for row in transaction["setKeys"]:
            self._set(row["table"], row["key"], row["value"])
        return reply_json({"ver": self.ver, "nowMs": int(time.monotonic() * 1000)})


class PlainWorker(Server):
    """A sound worker of a plain service."""

    def __init__(self, name: str, record: Record, work_s: float = 0.03) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.work_s = work_s
        self.runs: dict[str, int] = {}

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Run a request, or answer a liveness check."""
        named = {"x-instance-id": self.name}
        expected = request.headers.get("x-expect-instance", self.name)
        request_id = request.headers.get("x-request-id", "")
        echo = {"x-request-id": request_id, "x-server-load": "0,0,6"}
        if expected != self.name:
            return encode_response(421, b"", {**echo, "at-server": self.name})
        if request.target == "/healthz":
            return encode_response(200, b"", named)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.add("run", self.name, request_id, request.method, request.target)
        await asyncio.sleep(self.work_s)
        stamp = {"x-server-stamp": f"{self.name}.{request_id}"}
        return encode_response(200, b"x" * 800, {**echo, **stamp})


@dataclass
class Answer:
    """What a client saw; a ``status`` of 0 is a connection without an answer."""

    status: int
    seconds: float
    error: str = ""
    body: bytes = b""


async def send_request(
    address: str,
    method: str,
    path: str,
    request_id: str,
    host_name: str = "salon.example",
    key: str = "key-1",
    budget_s: float = 2.5,
    body: bytes = b"",
) -> Answer:
    """Send a request on a new connection and wait for its answer."""
    began = time.monotonic()
    host, _, port = address.partition(":")
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host_name}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {int(budget_s * 1000)}",
        f"X-Credential: {key}",
    ]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(budget_s):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            answer = await read_message(reader)
        return Answer(answer.status, time.monotonic() - began, body=answer.body)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        reason = f"{type(error).__name__}: {error}".strip()
        return Answer(0, time.monotonic() - began, reason)
    finally:
        if writer is not None:
            writer.close()


async def is_ready(address: str) -> bool:
    """Ask a process as the platform does; deploy/wire.toml has this path."""
    answer = await send_request(address, "GET", "/readyz", "ready", budget_s=1.0)
    return answer.status == 200


def build_config(version: int = 1, **changes: object) -> dict[str, object]:
    """Return the operator's config with an unsafe and a safe route."""
    route = {
        "host": "salon.example",
        "timeoutMs": 1200,
        "sloMs": 150,
        "priority": 2,
        "service": "agenda",
        "maxAttempts": 1,
    }
    service = {"name": "agenda", "maxConns": 110, "healthPath": "/healthz"}
    return {
        "version": version,
        "routes": [
            {**route, "name": "book", "pathPrefix": "/book/", "type": "unsafe"},
            {
                **route,
                "name": "list",
                "pathPrefix": "/list/",
                "type": "safe",
                "maxAttempts": 2,
            },
        ],
        "services": [service],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "salon", "apiKeys": ["key-1"]}],
        **changes,
    }


def worker_row(worker: Server, service: str, zone: str) -> dict[str, object]:
    """Return a worker's row in the platform's list."""
    return {
        "service": service,
        "address": worker.address,
        "zone": zone,
        "version": "1",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
    }


def render(template: str, fields: dict[str, object]) -> str:
    """Fill in a template of the settings, which has only plain placeholders."""
    return re.sub(r"\{\{(.*?)\}\}", lambda m: str(fields[m.group(1)]), template)


@dataclass
class Program:
    """One of the project's programs, restarted after a short delay if it ends."""

    name: str
    command: list[str]
    log: Path
    handle: subprocess.Popen[bytes] | None = None
    ends: list[float] = field(default_factory=list)
    stopping: bool = False

    def spawn(self) -> None:
        """Start the process."""
        environment = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment |= {"LANG": "C.UTF-8", "PYTHONPATH": str(ROOT / "target/deps")}
        with self.log.open("ab") as output:
            self.handle = subprocess.Popen(
                self.command, stdout=output, stderr=output, cwd=ROOT, env=environment
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.handle is not None and self.handle.poll() is None:
            self.handle.send_signal(number)


class Deployment:
    """A store and some entries, with settings from the project's templates."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.store = Store()
        self.programs: dict[str, Program] = {}
        self.front: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self.restart_delay_s = 0.5
        self.watcher: asyncio.Task[None] | None = None
        self.heartbeats: asyncio.Task[None] | None = None

    def start_heartbeats(self, workers: Iterable["PlainWorker"]) -> None:
        """Write the rows of workers again and again, but of none that is down."""
        self.heartbeats = asyncio.create_task(self._beat(workers))

    async def _beat(self, workers: Iterable["PlainWorker"]) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in workers:
                if not getattr(worker, "is_down", False):
                    self.store.refresh(worker.name)

    async def start_entries(self, zones: list[str], **more: object) -> None:
        """Start an entry in each of the zones and wait until all are ready."""
        template = (ROOT / "deploy/entry.ini").read_text(encoding="utf-8")
        control = {f"edge-{n}": f"{HOST}:{free_port()}" for n in range(len(zones))}
        for number, zone in enumerate(zones):
            name = f"edge-{number}"
            self.front[name] = f"{HOST}:{free_port()}"
            self.ready[name] = f"{HOST}:{free_port()}"
            fields = {
                "nodeName": name,
                "zone": zone,
                "listen.control": control[name],
                "listen.front": self.front[name],
                "listen.ready": self.ready[name],
                "platform.address": self.store.address,
                "bounds.retryRatio": 0.2,
                "bounds.retrySlack": 94,
                "bounds.retryWindowS": 10,
                "limits.memoryMb": 300,
                "limits.maxFds": 4100,
                "seeds": ",".join(list(control.values())[:3]),
                **more,
            }
            settings = self.folder / f"{name}.ini"
            settings.write_text(render(template, fields), encoding="utf-8")
            command = [sys.executable, "-m", "briarthread_entry", "direct"]
            self._start(name, [*command, str(settings)])
        self.watcher = self.watcher or asyncio.create_task(self._watch())
        await self.wait_ready()

    def _start(self, name: str, command: list[str]) -> None:
        program = Program(name, command, self.folder / f"{name}.log")
        program.spawn()
        self.programs[name] = program

    async def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until all entries are ready; raise TimeoutError otherwise."""
        async with asyncio.timeout(seconds):
            for address in self.ready.values():
                while not await is_ready(address):
                    await asyncio.sleep(0.1)

    async def _watch(self) -> None:
        """Start each process that has ended again, as the platform does."""
        while True:
            for program in self.programs.values():
                if program.handle.poll() is not None and not program.stopping:
                    code = program.handle.returncode
                    program.ends.append(time.monotonic())
                    self.record.add("process-ended", program.name, "exit code", code)
                    await asyncio.sleep(self.restart_delay_s)
                    program.spawn()
            await asyncio.sleep(0.05)

    def log_lines(self, name: str, pattern: str) -> list[str]:
        """Return the lines of a process's log that match a pattern."""
        text = self.programs[name].log.read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if re.search(pattern, line)]

    def stop(self) -> None:
        """End all processes that were started here."""
        if self.watcher is not None:
            self.watcher.cancel()
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        for program in self.programs.values():
            program.stopping = True
            program.signal(signal.SIGCONT)
            program.signal(signal.SIGKILL)
        for program in self.programs.values():
            program.handle.wait(10)
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
