"""A deployment of real processes before targets whose paths can be disturbed."""

import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpcore
from anyio.abc import TaskGroup
from processes import endless_target
from processes.endless_target import EndlessKind

from briarthread_common.http.server import HttpServer, open_listener
from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance
from briarthread_standins.deployment import installed_command
from briarthread_standins.direct_config import DIARY, MODEL, build_config
from briarthread_standins.fake_platform_store import FakePlatformStore
from briarthread_standins.loopback_proxy import LoopbackProxy

HOST = "127.0.0.1"
START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 10.0
SERVICES = {MODEL: 4, DIARY: 3}
"""Number of targets of each service."""
ENTRY_COUNT = 3
FIRST_DATA_CENTRE, SECOND_DATA_CENTRE = "palermo", "catania"
"""Data centres of the targets, in turn; the entries are in the first one."""
RETRY_ALLOWANCE = RetryAllowance(0.05, 12.0, 10.0)
"""An allowance so small that the few requests of a soak use it up."""
ENTRY_SETTINGS = """
[instance]
name = {name}
data_centre = palermo
listen = {listen}
drain_notice = 1
drain_timeout = 5
[callers]
listen = {callers}
ready_listen = {ready}
[direct]
adapter = briarthread_platform.adapter
address = {store}
retry_ratio = {allowance.ratio}
retry_slack = {allowance.reserve}
retry_window = {allowance.window}
max_files = {max_files}
memory_mb = {memory_mb}
[peers]
seeds = {seeds}
[logs]
level = INFO
"""


LOG_CHARACTERS = 4000
"""Characters at the end of a log that the report of a failed start has."""
RESERVATIONS: list[socket.socket] = []
"""Sockets that keep the ports of processes free until these listen."""


class StartError(Exception):
    """An entry was not ready in time; the text has the logs of all entries."""


@dataclass(slots=True)
class SoakProcess:
    """A process of the deployment and the command that starts it."""

    name: str
    command: list[str]
    log: Path
    handle: subprocess.Popen[bytes]


@dataclass(slots=True)
class Target:
    """A worker's process and the proxy through which entries reach it."""

    process: SoakProcess
    proxy: LoopbackProxy
    data_centre: str


@dataclass(slots=True)
class SoakDeployment:
    """
    Start entries and targets as processes; the store and the proxies run here.

    ``services`` has the number of targets of each service, ``max_files`` and
    ``memory_mb`` are settings of the entries, ``culprit`` is a segment of prompts that
    ends targets. ``rows`` are those of all targets in the store.
    """

    folder: Path
    tasks: TaskGroup
    services: dict[str, int] = field(default_factory=lambda: dict(SERVICES))
    entry_count: int = ENTRY_COUNT
    allowance: RetryAllowance = RETRY_ALLOWANCE
    max_files: int = 0
    memory_mb: float = 0.0
    culprit: str = ""
    store: FakePlatformStore = field(default_factory=FakePlatformStore)
    rows: dict[str, dict[str, object]] = field(default_factory=dict)
    endless_targets: list[SoakProcess] = field(default_factory=list)
    entries: dict[str, SoakProcess] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    callers_addresses: dict[str, str] = field(default_factory=dict)
    ready_addresses: dict[str, str] = field(default_factory=dict)
    peer_addresses: dict[str, str] = field(default_factory=dict)
    store_address: str = ""

    async def start(self) -> None:
        """Start all processes and wait until every entry is ready."""
        self.store.put("op", "config", build_config())
        for service, count in self.services.items():
            for number in range(count):
                data_centre = (FIRST_DATA_CENTRE, SECOND_DATA_CENTRE)[number % 2]
                await self._start_target(f"{service}-{number}", service, data_centre)
        self.store_address = self._serve_store()
        names = [f"entry-{number}" for number in range(self.entry_count)]
        self.peer_addresses = {name: free_address() for name in names}
        for name in names:
            self._start_entry(name)
        try:
            with anyio.fail_after(START_TIMEOUT_SECONDS):
                for name in self.entries:
                    while not await self.is_ready(name):
                        await anyio.sleep(0.1)
        except TimeoutError as error:
            raise StartError(self._describe_entries()) from error

    def _describe_entries(self) -> str:
        """Return the exit code and the end of the log of each entry."""
        described = []
        for name, process in self.entries.items():
            code = process.handle.poll()
            log = process.log.read_text(encoding="utf-8", errors="replace")
            described.append(f"{name}, exit code {code}:\n{log[-LOG_CHARACTERS:]}")
        return "\n".join(described)

    async def is_ready(self, entry: str) -> bool:
        """Return whether an entry answers its readiness probe with 200."""
        url = f"http://{self.ready_addresses[entry]}/readyz"
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                timeout = {"timeout": {"connect": 0.5, "read": 0.5}}
                response = await pool.request("GET", url, extensions=timeout)
                return response.status == 200
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return False

    def restart(self, process: SoakProcess) -> None:
        """Start a process that has ended once more."""
        process.handle = _spawn(process.command, process.log)

    def processes(self) -> list[SoakProcess]:
        """Return the processes of all entries and targets."""
        targets = [target.process for target in self.targets.values()]
        return [*self.entries.values(), *targets, *self.endless_targets]

    def process_ids(self) -> list[int]:
        """Return the ids of the processes that run."""
        handles = [process.handle for process in self.processes()]
        return [handle.pid for handle in handles if handle.poll() is None]

    def stop(self) -> None:
        """End every process that this deployment has started."""
        for process in self.processes():
            if process.handle.poll() is None:
                process.handle.kill()
        for process in self.processes():
            process.handle.wait(STOP_TIMEOUT_SECONDS)

    def _serve_store(self) -> str:
        listener = open_listener(f"{HOST}:0")
        server = HttpServer(self.store.app, [listener], 1)
        self.tasks.start_soon(server.server.serve, [listener])
        return "{}:{}".format(*listener.getsockname())

    async def _start_target(self, name: str, service: str, data_centre: str) -> None:
        address = free_address()
        host, _, port = address.partition(":")
        proxy = LoopbackProxy(host, int(port))
        listener = await anyio.create_tcp_listener(local_host=HOST)
        proxy_port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.tasks.start_soon(proxy.serve, listener.listeners[0], self.tasks)
        module = "briarthread_standins.recorded_worker"
        command = [sys.executable, "-m", module, name, address]
        if self.culprit:
            command.append(f"--culprit={self.culprit}")
        process = self.start_process(name, command)
        self.targets[name] = Target(process, proxy, data_centre)
        self._list_target(name, service, f"{HOST}:{proxy_port}", data_centre)

    def add_endless_target(
        self, name: str, service: str, kind: EndlessKind, pace: str
    ) -> SoakProcess:
        """Start a target whose bytes are no answer, and list it."""
        address = free_address()
        command = [sys.executable, endless_target.__file__, kind, pace, address]
        process = self.start_process(name, command)
        self.endless_targets.append(process)
        self._list_target(name, service, address, FIRST_DATA_CENTRE)
        return process

    def _list_target(
        self, name: str, service: str, address: str, data_centre: str
    ) -> None:
        self.rows[name] = {
            "service": service,
            "address": address,
            "zone": data_centre,
            "slots": 12,
            "state": "ready",
        }
        self.store.put("servers", name, self.rows[name])

    def _start_entry(self, name: str) -> None:
        self.callers_addresses[name] = free_address()
        self.ready_addresses[name] = free_address()
        settings = self.folder / f"{name}.ini"
        text = ENTRY_SETTINGS.format(
            name=name,
            listen=self.peer_addresses[name],
            callers=self.callers_addresses[name],
            ready=self.ready_addresses[name],
            store=self.store_address,
            seeds=",".join(self.peer_addresses.values()),
            allowance=self.allowance,
            max_files=self.max_files,
            memory_mb=self.memory_mb,
        )
        settings.write_text(text, encoding="utf-8")
        command = [*installed_command("briarthread"), "direct", str(settings)]
        self.entries[name] = self.start_process(name, command)

    def start_process(self, name: str, command: list[str]) -> SoakProcess:
        """Start a process that logs into the folder."""
        log = self.folder / f"{name}.log"
        return SoakProcess(name, command, log, _spawn(command, log))


def free_address() -> str:
    """
    Return an address that only a process that is told of it will use.

    A socket stays bound to it, so that neither an outgoing connection nor another test
    gets its port before that process listens. A server, which reuses addresses, may.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    RESERVATIONS.append(reservation)
    return "{}:{}".format(*reservation.getsockname())


def _spawn(command: list[str], log: Path) -> subprocess.Popen[bytes]:
    with log.open("ab") as output:
        return subprocess.Popen(command, stdout=output, stderr=output)
