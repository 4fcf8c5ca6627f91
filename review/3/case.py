"""Three entries freeze as a key is taken away and a worker begins to drain."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, os.environ.get("REVIEW_BUILD", str(CASE.parent / "build")))

from deployment import (  # noqa: E402
    CaseError,
    Deployment,
    Node,
    config,
    play,
    route,
)

CONFIG_SECONDS = DRAIN_SECONDS = 3.0
STABLE_SECONDS = 4.0
FREEZE_SECONDS = 3.5
"""`configMs`, `drainMs`, `stableMs` and the longest freeze of several machines at the
site."""
ENTRIES, FROZEN = 10, 3
"""Entries of one zone, of 30 in three zones, and how many of the 30 freeze."""
ROUNDS = 3
ASK_SECONDS = 0.05
FIELDS = {"bounds.retrySlack": "186", "limits.memoryMb": "200"}


async def start(world: Deployment) -> list[Node]:
    """Start the entries of a zone; each has an address of the store of its own."""
    entries = []
    for number in range(1, ENTRIES + 1):
        name = f"edge-ishikari-a-{number}"
        address = await world.open_store(name)
        fields = {**FIELDS, "platform.address": address}
        host = f"127.0.0.{number + 9}"
        entries.append(world.add_entry(name, host, "ishikari-a", **fields))
    await world.start(entries, STABLE_SECONDS)
    return entries


async def ask(
    world: Deployment, entry: Node, label: str, key: str, acked: float
) -> float:
    """
    Ask with a key that was taken away until it is refused.

    Return when the last request that was run was sent, in seconds after the ack.
    """
    last, number = 0.0, 0
    while time.monotonic() < acked + 8.0:
        number += 1
        sent = time.monotonic() - acked
        answer = await world.send(
            entry,
            "GET",
            "/status/1",
            f"{label}-{entry.name}-{number}",
            (("X-Credential", key),),
        )
        if answer.status == 200:
            last = sent
        if answer.status == 401:
            return last
        await asyncio.sleep(ASK_SECONDS)
    return last


async def book(world: Deployment, entry: Node, label: str, key: str) -> None:
    """Send unsafe requests with a key that stays, from the ack on."""
    began = time.monotonic()
    while time.monotonic() < began + FREEZE_SECONDS + 1.0:
        sent = f"{label}-{entry.name}-{time.monotonic() - began:.3f}"
        await world.send(
            entry, "POST", "/sign/1", sent, (("X-Credential", key),), b"{}"
        )
        await asyncio.sleep(ASK_SECONDS)


async def run(trouble: bool) -> int:
    """Return 1 if entries in touch use a dropped key or a draining worker too late."""
    async with Deployment(CASE) as world:
        keys = [f"key{number}" for number in range(ROUNDS + 1)]
        routes = [
            route("/status/", "shomei-core", "safe"),
            route("/sign/", "shomei-core", "unsafe"),
        ]

        def write_config(version: int) -> None:
            tenants = [{"name": "hule930", "apiKeys": keys, "priority": 1}]
            written = config(version, routes, ["shomei-core"], tenants=tenants)
            world.store.put("op", "config", written)

        write_config(1)
        workers = [
            await world.add_plain_worker(f"i-{number}", "shomei-core", number)
            for number in range(4)
        ]
        entries = await start(world)
        lasts: list[float] = []
        arrivals: list[float] = []
        for turn in range(ROUNDS):
            last_readers = sorted(world.read_at, key=world.read_at.get)[-FROZEN:]
            frozen = [e for e in entries if e.name in last_readers]
            began = time.monotonic()
            if trouble:
                world.record(f"{', '.join(last_readers)} freeze")
                for entry in frozen:
                    entry.signal(signal.SIGSTOP)
            await asyncio.sleep(0.05)
            key = keys.pop(0)
            write_config(2 + turn)
            worker = workers[turn]
            worker.row = {**worker.row, "state": "draining"}
            world.store.put("servers", worker.name, worker.row)
            acked = time.monotonic()
            world.record(f"the store acknowledges version {2 + turn} without {key}")
            world.record(f"the store acknowledges that {worker.name} is draining")
            others = [entry for entry in entries if entry not in frozen]
            booking = [
                asyncio.create_task(book(world, entry, f"b{turn}", keys[-1]))
                for entry in others
            ]
            asking = [
                asyncio.create_task(ask(world, entry, f"r{turn}", key, acked))
                for entry in others
            ]
            await asyncio.sleep(began + FREEZE_SECONDS - time.monotonic())
            if trouble:
                world.record(f"{', '.join(last_readers)} go on")
                for entry in frozen:
                    entry.signal(signal.SIGCONT)
            found = [round(last, 3) for last in await asyncio.gather(*asking)]
            world.record(f"last run with {key}, seconds after the ack: {sorted(found)}")
            lasts += found
            await asyncio.gather(*booking)
            arrived = [at - acked for at in worker.run_at]
            world.record(f"last arrival at {worker.name}: {max(arrived):.3f} s after")
            arrivals += [at for at in arrived if at > DRAIN_SECONDS]
            await asyncio.sleep(STABLE_SECONDS + 2.0)
        if not lasts:
            raise CaseError("no entry was asked")
        late = [last for last in lasts if last > CONFIG_SECONDS]
        world.record(f"later than configMs at entries in touch: {len(late)} times")
        world.record(f"later than drainMs at a draining worker: {len(arrivals)} times")
        return 1 if late or arrivals else 0


play(run)
