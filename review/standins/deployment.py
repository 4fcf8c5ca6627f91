"""Processes of the project, started as the deploy file says, on loopback addresses."""

import asyncio
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from plain_worker import PlainWorker
from platform_store import PlatformStore
from small_http import Request, Response, call, serve

REPOSITORY = Path(__file__).resolve().parents[2]
BOUNDS = {
    "bounds.retryRatio": "0.2",
    "bounds.retrySlack": "94",
    "bounds.retryWindowS": "10",
    "limits.memoryMb": "300",
    "limits.maxFds": "4100",
}
"""Settings of an edge machine of the small deployment (caruso-prenota)."""
ZONES = ("palermo", "catania", "messina")
STABLE_SECONDS = 3.0
CONFIG_SECONDS = 2.0
HEARTBEAT_SECONDS = 1.2
"""`stableMs`, `configMs` and `heartbeatMs` of the small deployment."""
CASE_SECONDS = 110.0
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Write what was sent, answered and run to the record of a case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def free_port(host: str) -> int:
    """Return a port that is free at a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Node:
    """One process of the project with its settings."""

    def __init__(self, role: str, name: str, host: str, fields: dict[str, str]) -> None:
        self.role, self.name, self.host = role, name, host
        self.fields = fields
        self.process: asyncio.subprocess.Process | None = None
        self.output = None

    async def start(self, folder: Path) -> None:
        """Start the process with the command and the template of the deploy file."""
        roles = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]
        role = roles[self.role]
        template = (REPOSITORY / role["template"]).read_text()
        text = re.sub(r"\{\{(.*?)\}\}", lambda m: self.fields[m[1]], template)
        settings = folder / f"{self.name}.ini"
        settings.write_text(text)
        words = role["run"].split()
        command = [str(settings) if w.startswith("/etc/") else w for w in words]
        command[0] = sys.executable
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.output = (folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=REPOSITORY,
            env=environment,
            stdout=self.output,
            stderr=self.output,
        )

    def signal(self, number: int) -> None:
        """Send the process a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self.output is not None:
            self.output.close()


class Deployment:
    """A store, workers and nodes of one case; use it with ``async with``."""

    def __init__(self, case: Path) -> None:
        self.case = case
        self.record = Record(case / "record.txt")
        self.store = PlatformStore()
        self.nodes: list[Node] = []
        self.servers: list[asyncio.Server] = []
        self.tasks: list[asyncio.Task] = []
        self.read_at: dict[str, float] = {}
        self.store_address = ""
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)

    async def __aenter__(self) -> "Deployment":
        self.store_address = await self.serve("127.0.0.1", self.store.handle)
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            await node.stop()
        for server in self.servers:
            server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.folder.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()

    async def serve(self, host: str, handler, port: int = 0) -> str:
        """Serve a stand-in; return its address."""
        port = port or free_port(host)
        self.servers.append(await serve(host, port, handler))
        return f"{host}:{port}"

    async def open_store(self, name: str) -> str:
        """
        Serve the store at one more address, for one machine.

        ``read_at`` then tells when that machine last read the list of workers.
        """

        async def handle(request: Request, writer: asyncio.StreamWriter) -> None:
            if "/api/rows-" in request.target and "table=servers" in request.target:
                self.read_at[name] = time.monotonic()
            await self.store.handle(request, writer)

        return await self.serve("127.0.0.1", handle)

    def add_entry(self, name: str, host: str, zone: str, **fields: str) -> Node:
        """Add an entry, which is not started yet."""
        fields = {
            **BOUNDS,
            "nodeName": name,
            "zone": zone,
            "platform.address": self.store_address,
            **fields,
        }
        for kind in ("front", "ready", "control"):
            fields[f"listen.{kind}"] = f"{host}:{free_port(host)}"
        node = Node("entry", name, host, fields)
        self.nodes.append(node)
        return node

    async def wait_ready(self, node: Node, seconds: float = 25.0) -> None:
        """Wait until an entry reports that it is ready."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            answer = await call(
                node.fields["listen.ready"],
                "GET",
                "/readyz",
                (("Host", "x"),),
                timeout=1,
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{node.name} did not become ready")

    async def send(
        self,
        node: Node,
        method: str,
        target: str,
        request_id: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes | None = None,
        deadline_ms: int = 2533,
        gap: float | None = None,
    ) -> Response:
        """Send a client's request to an entry and record it with its answer."""
        self.record(f"client sends {request_id} {method} {target} to {node.name}")
        answer = await call(
            node.fields["listen.front"],
            method,
            target,
            (
                ("Host", "salon.example"),
                ("X-Request-Id", request_id),
                ("X-Deadline-Ms", str(deadline_ms)),
                *headers,
            ),
            body,
            timeout=deadline_ms / 1000,
            gap=gap,
        )
        self.record(
            f"client gets for {request_id}: {answer.status or 'nothing'}"
            f" stamp={answer.headers.get('x-server-stamp', '-')}"
            f" retry-after={answer.headers.get('retry-after', '-')}"
            f" complete={answer.complete}"
        )
        return answer

    async def add_plain_worker(
        self, name: str, service: str, number: int
    ) -> PlainWorker:
        """Serve a worker of a plain service and register it in the store."""
        worker = PlainWorker(name, service, self.record)
        worker.row = {
            "service": service,
            "address": await self.serve(f"127.0.0.{number + 20}", worker.handle),
            "zone": ZONES[number % len(ZONES)],
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
        }
        self.store.put("servers", name, worker.row)
        self.tasks.append(asyncio.create_task(self._beat(worker)))
        return worker

    async def _beat(self, worker: PlainWorker) -> None:
        """Write a worker's row again as its heartbeat, with the next ``seq``."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            worker.row = {**worker.row, "seq": worker.row["seq"] + 1}
            self.store.put("servers", worker.name, worker.row)

    async def start_entries(self) -> list[Node]:
        """Start an entry in each zone; return them when they are in touch."""
        entries = [
            self.add_entry(f"edge-{zone}-1", f"127.0.0.{number + 10}", zone)
            for number, zone in enumerate(ZONES)
        ]
        await self.start(entries, STABLE_SECONDS)
        return entries

    async def start(self, entries: list[Node], stable_seconds: float) -> None:
        """Start entries and wait until they are in touch."""
        seeds = ",".join(entry.fields["listen.control"] for entry in entries[:3])
        for entry in entries:
            entry.fields["seeds"] = seeds
            await entry.start(self.folder)
        for entry in entries:
            await self.wait_ready(entry)
        await asyncio.sleep(stable_seconds + 1.0)


def config(
    version: int, routes: list[dict], services: list[str], **more: object
) -> dict:
    """Return a config of plain services."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 110}
            for name in services
        ],
        "limits": LIMITS,
        **more,
    }


def play(run: Callable[[bool], Awaitable[int]]) -> None:
    """Run a case and exit with its result; without trouble if TROUBLE is 0."""
    trouble = os.environ.get("TROUBLE") != "0"
    try:
        code = asyncio.run(asyncio.wait_for(run(trouble), CASE_SECONDS))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = 2
    print(f"exit {code}")
    sys.exit(code)


def route(prefix: str, service: str, kind: str, **more: object) -> dict:
    """Return a route of a config."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": "salon.example",
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": 2500,
        "sloMs": 203,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        **more,
    }
