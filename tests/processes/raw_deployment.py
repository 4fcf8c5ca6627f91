"""Real entries before targets that write their responses to the socket themselves."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import anyio
import httpcore
from anyio.abc import TaskGroup
from soak.soak_deployment import SoakDeployment, free_address

from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance
from briarthread_standins.deployment import Deployment

ALLOWANCE = RetryAllowance(0.5, 200.0, 10.0)
"""Retries that are enough for all attempts of a test."""
LIST_SECONDS = 1.5
"""Time until an entry knows new rows of the list of targets."""
DATA_CENTRE = "palermo"


class SocketTarget(Protocol):
    """A target that listens on a free port of the loopback interface."""

    async def start(self, tasks: TaskGroup) -> str:
        """Listen and return the address."""
        ...


@dataclass(frozen=True, slots=True)
class Reply:
    """A response as a caller received it; ``whole`` is false if it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


async def send(
    pool: httpcore.AsyncConnectionPool,
    url: str,
    method: str,
    fields: dict[str, str],
    content: bytes | None,
) -> Reply:
    """Send a request and return the response."""
    async with pool.stream(method, url, headers=fields, content=content) as response:
        headers = {
            name.decode().lower(): value.decode() for name, value in response.headers
        }
        parts: list[bytes] = []
        whole = True
        try:
            async for part in response.aiter_stream():
                parts.append(part)
        except httpcore.RemoteProtocolError:
            whole = False
        return Reply(response.status, headers, b"".join(parts), whole)


def run_before_targets(
    folder: Path,
    targets: Mapping[str, SocketTarget],
    scenario: Callable[[str], Awaitable[None]],
) -> None:
    """
    Run a scenario with the address of an entry before some targets.

    The targets are given by names that consist of their service, a dash and a number.
    """

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            deployment = SoakDeployment(folder, tasks, {}, 1, ALLOWANCE)
            for name, target in targets.items():
                row = {
                    "service": name.rpartition("-")[0],
                    "address": await target.start(tasks),
                    "zone": DATA_CENTRE,
                    "slots": 12,
                    "state": "ready",
                }
                deployment.store.put("servers", name, row)
            try:
                await deployment.start()
                await anyio.sleep(LIST_SECONDS)
                await scenario(deployment.callers_addresses["entry-0"])
            finally:
                deployment.stop()
                tasks.cancel_scope.cancel()

    anyio.run(play)


class ReservedDeployment(Deployment):
    """A deployment whose ports no other test gets."""

    def _address(self, name: str) -> str:
        process = self.processes.get(name)
        return free_address() if process is None else process.address


def run_before_agents(
    folder: Path,
    text: str,
    targets: Mapping[str, SocketTarget],
    scenario: Callable[[str], Awaitable[None]],
) -> None:
    """
    Run a scenario with the address of an entry before targets with agents.

    The targets are given by their services.
    """
    path = folder / "text.ini"
    path.write_text(text, encoding="utf-8")

    async def play() -> None:
        deployment = ReservedDeployment(folder, [DATA_CENTRE], {}, log_level="INFO")
        async with anyio.create_task_group() as tasks:
            try:
                await anyio.to_thread.run_sync(deployment.start)
                for service, target in targets.items():
                    name = f"{service}-{DATA_CENTRE}-0"
                    address = await target.start(tasks)
                    deployment.start_agent(DATA_CENTRE, service, name, address)
                await anyio.to_thread.run_sync(_finish_start, deployment, path)
                await scenario(deployment.entry_address(DATA_CENTRE))
                assert set(deployment.exit_codes().values()) == {None}
            finally:
                await anyio.to_thread.run_sync(deployment.stop)
                tasks.cancel_scope.cancel()

    anyio.run(play)


def _finish_start(deployment: Deployment, text: Path) -> None:
    deployment.put_instances()
    deployment.apply(text)
    deployment.wait_until_ready()
    services = [row.service for row in deployment.instances if row.service]
    deployment.wait_for_shares(services, 3)
