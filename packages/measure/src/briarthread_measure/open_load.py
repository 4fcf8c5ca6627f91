"""Open-loop load: random arrivals that do not wait for earlier responses."""

import random
from dataclasses import dataclass, field

import anyio

from briarthread_common.utils.hashing import key_digest
from briarthread_standins.world import World

OK = 200
START_SECONDS = 8.0
CALLERS = ("caller", "large")


@dataclass(slots=True)
class LoadResults:
    """Counts of responses, and latencies of successes and refusals in seconds."""

    requests: int = 0
    successes: int = 0
    refused: int = 0
    unknown: int = 0
    latencies: list[float] = field(default_factory=list)
    refusal_latencies: list[float] = field(default_factory=list)


class OpenLoad:
    """Send requests of two accounts to a world's entries in round-robin order."""

    def __init__(self, world: World, text: str, seed: int) -> None:
        self.world = world
        self.text = text
        self.rng = random.Random(seed)

    async def start(self) -> None:
        """Apply the services text and wait until the world has started."""
        await anyio.sleep(1)
        accounts = "".join(
            f"[account {name}]\nkeys = {key_digest(name)}\nhome = one\n"
            "rate = 100000\nconcurrency = 100000\n"
            for name in CALLERS
        )
        await self.world.apply(self.text + accounts)
        await anyio.sleep(START_SECONDS)

    async def run(
        self, account: str, rate: float, seconds: float, timeout: float
    ) -> LoadResults:
        """Send ``rate`` requests per second and count the responses."""
        results = LoadResults()
        entries = [n for n in self.world.processes if n.startswith("entry-")]
        end = self.world.clock.now() + seconds
        async with anyio.create_task_group() as tasks:
            while self.world.clock.now() < end:
                await anyio.sleep(self.rng.expovariate(rate))
                entry = entries[results.requests % len(entries)]
                results.requests += 1
                tasks.start_soon(self._send_request, entry, account, timeout, results)
        return results

    async def _send_request(
        self, entry: str, account: str, timeout: float, results: LoadResults
    ) -> None:
        start = self.world.clock.now()
        response = await self.world.call(
            entry, "cards/x", account, body=b"x", timeout=timeout
        )
        elapsed = self.world.clock.now() - start
        if response.status == OK and elapsed <= timeout:
            results.successes += 1
            results.latencies.append(elapsed)
        elif response.outcome == "not-run":
            results.refused += 1
            results.refusal_latencies.append(elapsed)
        else:
            results.unknown += 1
