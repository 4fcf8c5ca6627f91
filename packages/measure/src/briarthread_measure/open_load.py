"""Requests that come at random, whatever becomes of them."""

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
    """Count the answers; latencies in seconds, of good ones and of refusals."""

    requests: int = 0
    good: int = 0
    refused: int = 0
    unknown: int = 0
    latencies: list[float] = field(default_factory=list)
    refusal_latencies: list[float] = field(default_factory=list)


class OpenLoad:
    """Send a world requests of two accounts through its entries in turn."""

    def __init__(self, world: World, text: str, seed: int) -> None:
        self.world = world
        self.text = text
        self.rng = random.Random(seed)

    async def start(self) -> None:
        """Apply the text and wait until the world is up."""
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
        """Send ``rate`` requests a second for a while and count the answers."""
        tally = LoadResults()
        entries = [n for n in self.world.members if n.startswith("entry-")]
        end = self.world.clock.now() + seconds
        async with anyio.create_task_group() as tasks:
            while self.world.clock.now() < end:
                await anyio.sleep(self.rng.expovariate(rate))
                entry = entries[tally.requests % len(entries)]
                tally.requests += 1
                tasks.start_soon(self._ask, entry, account, timeout, tally)
        return tally

    async def _ask(
        self, entry: str, account: str, timeout: float, tally: LoadResults
    ) -> None:
        start = self.world.clock.now()
        answer = await self.world.call(
            entry, "cards/x", account, body=b"x", timeout=timeout
        )
        took = self.world.clock.now() - start
        if answer.status == OK and took <= timeout:
            tally.good += 1
            tally.latencies.append(took)
        elif answer.outcome == "not-run":
            tally.refused += 1
            tally.refusal_latencies.append(took)
        else:
            tally.unknown += 1
