"""An entry and an agent as processes, with lowered limits, and crowds before them."""

from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpcore
from anyio.abc import TaskGroup
from soak.soak_deployment import SoakDeployment, SoakProcess, free_address

from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance
from briarthread_standins.deployment import installed_command
from briarthread_standins.direct_config import DIARY
from crowds.crowd import Behaviour, press

MEMORY_MB = 100
"""Memory of the instances of the entry and the agent."""
MAX_FILES = 400
"""Files and sockets that each of the two may open."""
ALLOWANCE = RetryAllowance(0.5, 200.0, 10.0)
SETTLE_SECONDS = 1.0
"""Time after a crowd has gone until an ordinary request comes."""
START_SECONDS = 20.0
LONGEST_SECONDS = 10.0
"""Time limit of an ordinary request."""
CHECK_SECONDS = 0.1
REFUSAL_COUNTERS = (
    "briarthread_client_refusals_total",
    "briarthread_rejected_connections_total",
)
HELD_GAUGE = "briarthread_client_held_bytes{"
AGENT = "agent-0"
AGENT_SETTINGS = """
[instance]
name = agent-0
data_centre = palermo
service = diary
listen = {listen}
drain_notice = 0.1
drain_timeout = 1
memory_mb = {memory_mb}
max_files = {max_files}
[target]
address = {target}
[direct]
adapter = briarthread_platform.adapter
address = {store}
[peers]
seeds = {seeds}
[logs]
level = INFO
"""


@dataclass(slots=True)
class ProcessFigures:
    """What a process used at most, and the exit code if it has ended."""

    peak_bytes: int = 0
    open_files: int = 0
    exit_code: int | None = None


@dataclass(slots=True)
class CrowdFigures:
    """What was seen while a crowd pressed, and the ordinary requests afterwards."""

    processes: dict[str, ProcessFigures] = field(default_factory=dict)
    statuses: dict[str, int] = field(default_factory=dict)
    refusals: str = ""
    held: set[float] = field(default_factory=set)

    def describe(self) -> str:
        """Return the figures in a few words."""
        used = ", ".join(
            f"{name}: {found.peak_bytes / 1e6:.0f} MB, {found.open_files} files, "
            f"exit code {found.exit_code}"
            for name, found in self.processes.items()
        )
        return f"{used}; afterwards {self.statuses}; {self.refusals}"


def play_crowd(
    folder: Path, behaviour: Behaviour, size: int, seconds: float
) -> CrowdFigures:
    """Let a crowd of that size press on each address of an entry and an agent."""
    return anyio.run(_play, folder, behaviour, size, seconds)


async def _play(
    folder: Path, behaviour: Behaviour, size: int, seconds: float
) -> CrowdFigures:
    figures = CrowdFigures()
    async with anyio.create_task_group() as tasks:
        deployment = SoakDeployment(
            folder, tasks, {DIARY: 1}, 1, ALLOWANCE, MAX_FILES, MEMORY_MB
        )
        agent: SoakProcess | None = None
        try:
            await deployment.start()
            agent, agent_address = await _start_agent(deployment, folder)
            await _wait_until_served(deployment.callers_addresses["entry-0"], "/list/1")
            processes = {"entry-0": deployment.entries["entry-0"], AGENT: agent}
            addresses = _addresses(deployment, agent_address)
            await _press_on_all(
                tasks, processes, list(addresses), behaviour, size, seconds, figures
            )
            await anyio.sleep(SETTLE_SECONDS)
            for address, path in addresses.items():
                figures.statuses[path] = await _request(address, path)
            await _read_metrics(addresses, figures)
        finally:
            deployment.stop()
            if agent is not None:
                agent.handle.kill()
                agent.handle.wait()
            tasks.cancel_scope.cancel()
    return figures


def _addresses(deployment: SoakDeployment, agent_address: str) -> dict[str, str]:
    """Return a path that is answered at each address."""
    return {
        deployment.callers_addresses["entry-0"]: "/list/1",
        deployment.ready_addresses["entry-0"]: "/readyz",
        deployment.peer_addresses["entry-0"]: "/status",
        agent_address: "/healthz",
    }


async def _start_agent(
    deployment: SoakDeployment, folder: Path
) -> tuple[SoakProcess, str]:
    """Start an agent and wait until it answers."""
    address = free_address()
    settings = folder / f"{AGENT}.ini"
    text = AGENT_SETTINGS.format(
        listen=address,
        memory_mb=MEMORY_MB,
        max_files=MAX_FILES,
        target=next(iter(deployment.rows.values()))["address"],
        store=deployment.store_address,
        seeds=",".join(deployment.peer_addresses.values()),
    )
    settings.write_text(text, encoding="utf-8")
    command = [*installed_command("briarthread-agent"), "--direct", str(settings)]
    process = deployment.start_process(AGENT, command)
    await _wait_until_served(address, "/healthz")
    return process, address


async def _wait_until_served(address: str, path: str) -> None:
    with anyio.fail_after(START_SECONDS):
        while await _request(address, path) != 200:
            await anyio.sleep(CHECK_SECONDS)


async def _press_on_all(
    tasks: TaskGroup,
    processes: dict[str, SoakProcess],
    addresses: list[str],
    behaviour: Behaviour,
    size: int,
    seconds: float,
    figures: CrowdFigures,
) -> None:
    figures.processes = {name: ProcessFigures() for name in processes}
    async with anyio.create_task_group() as crowds:
        for address in addresses:
            crowds.start_soon(press, address, behaviour, size, seconds)
        with anyio.move_on_after(seconds):
            while True:
                _note_usage(processes, figures)
                await anyio.sleep(CHECK_SECONDS)
    _note_usage(processes, figures)


def _note_usage(processes: dict[str, SoakProcess], figures: CrowdFigures) -> None:
    for name, process in processes.items():
        found = figures.processes[name]
        found.exit_code = process.handle.poll()
        if found.exit_code is not None:
            continue
        root = Path(f"/proc/{process.handle.pid}")
        found.open_files = max(found.open_files, len(list((root / "fd").iterdir())))
        found.peak_bytes = _peak_bytes(root)


def _peak_bytes(root: Path) -> int:
    """Return the largest resident size of a process so far."""
    lines = (root / "status").read_text().splitlines()
    (peak,) = (line.split()[1] for line in lines if line.startswith("VmHWM:"))
    return int(peak) * 1024


async def _request(address: str, path: str) -> int:
    """Return the status of an ordinary request, 0 without a response."""
    headers = {
        "host": "salon.example",
        "x-request-id": "ordinary",
        "x-credential": "key-1",
        "x-deadline-ms": "4000",
    }
    status = 0
    with anyio.move_on_after(LONGEST_SECONDS):
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}{path}"
                response = await pool.request("GET", url, headers=headers)
                status = response.status
        except (httpcore.NetworkError, httpcore.RemoteProtocolError):
            pass
    return status


async def _read_metrics(addresses: dict[str, str], figures: CrowdFigures) -> None:
    """Note which clients were refused, and what those that are left hold."""
    found: list[str] = []
    for address, path in addresses.items():
        if path not in ("/status", "/healthz"):
            continue
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request("GET", f"http://{address}/metrics")
                lines = response.content.decode().splitlines()
                found += [line for line in lines if line.startswith(REFUSAL_COUNTERS)]
                gauges = [line for line in lines if line.startswith(HELD_GAUGE)]
                figures.held |= {float(line.rpartition(" ")[2]) for line in gauges}
        except (httpcore.NetworkError, httpcore.RemoteProtocolError):
            found.append(f"no metrics of {address}")
    figures.refusals = " ".join(found)
