"""A real entry in front of one target, and its callers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
import httpcore
from soak.soak_deployment import SoakDeployment

from briarthread_entry.direct.retries.shared_retry_budget import RetryAllowance
from briarthread_standins.direct_config import DIARY
from processes.stuttering_target import Answer, Arrival, StutteringTarget

ALLOWANCE = RetryAllowance(0.5, 2000.0, 10.0)
"""Retries that are enough for all attempts of a test."""
LIST_SECONDS = 1.5
"""Time until an entry knows new rows of the list of targets."""


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller got, and what the target answered to its request each time."""

    status: int
    body: bytes
    arrivals: tuple[Arrival, ...]

    def is_answered_by_target(self) -> bool:
        """Return whether the caller got an answer of the target to this request."""
        return any(
            (a.status, a.body) == (self.status, self.body) for a in self.arrivals
        )


@dataclass(slots=True)
class Caller:
    """Call an entry, one request after the other, over a connection that is kept."""

    address: str
    target: StutteringTarget
    pool: httpcore.AsyncConnectionPool
    count: int = 0

    async def call(self, answer: Answer | None = None) -> Reply:
        """Send a safe request, which the target answers once as given."""
        self.count += 1
        request_id = f"{self.count:016x}"
        if answer is not None:
            self.target.answers.append(answer)
        response = await self.pool.request(
            "GET",
            f"http://{self.address}/list/1",
            headers={
                "host": "salon.example",
                "x-request-id": request_id,
                "x-credential": "key-1",
                "x-deadline-ms": "4000",
            },
        )
        self.target.answers.clear()
        arrivals = tuple(a for a in self.target.arrivals if a.id == request_id)
        return Reply(response.status, response.content, arrivals)


def run_before_target(
    folder: Path, scenario: Callable[[Caller], Awaitable[None]]
) -> None:
    """Play a scenario at an entry whose plain service has one target."""

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            deployment = SoakDeployment(folder, tasks, {}, 1, ALLOWANCE)
            target = StutteringTarget()
            row = {
                "service": DIARY,
                "address": await target.start(tasks),
                "zone": "palermo",
                "slots": 12,
                "state": "ready",
            }
            deployment.store.put("servers", f"{DIARY}-0", row)
            try:
                await deployment.start()
                await anyio.sleep(LIST_SECONDS)
                address = deployment.callers_addresses["entry-0"]
                async with httpcore.AsyncConnectionPool() as pool:
                    await scenario(Caller(address, target, pool))
            finally:
                deployment.stop()
                tasks.cancel_scope.cancel()

    anyio.run(play)
