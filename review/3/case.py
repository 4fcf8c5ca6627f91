"""Another writer leaves copies of the workers' rows in the store."""

import asyncio
import os
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, os.environ.get("REVIEW_BUILD", str(CASE.parent / "build")))

from deployment import CaseError, Deployment, config, play, route  # noqa: E402

ROUNDS = 10
"""Requests of each kind to each entry, two seconds apart."""


async def run(trouble: bool) -> int:
    """Return 1 if no request was served."""
    async with Deployment(CASE) as world:
        routes = [
            route("/confirm/", "agenda", "unsafe"),
            route("/daylist/", "agenda", "safe"),
        ]
        world.store.put("op", "config", config(1, routes, ["agenda"]))
        workers = [
            await world.add_plain_worker(f"i-{n}", "agenda", n) for n in range(3)
        ]
        entries = await world.start_entries()
        for worker in workers if trouble else []:
            copy = {**worker.row, "state": "archived"}
            world.store.put("servers", f"copy-of-{worker.name}", copy)
            world.record(f"another writer puts servers/copy-of-{worker.name}: {copy}")
        await asyncio.sleep(3)
        sent = served = 0
        for turn in range(ROUNDS):
            for number, entry in enumerate(entries):
                for kind, method in (("confirm", "POST"), ("daylist", "GET")):
                    answer = await world.send(
                        entry,
                        method,
                        f"/{kind}/{turn}",
                        f"{kind}-{number}-{turn}",
                        body=b"{}" if method == "POST" else None,
                    )
                    sent += 1
                    served += answer.status == 200
            if turn == ROUNDS // 2 and trouble:
                for worker in workers:
                    world.store.remove("servers", f"copy-of-{worker.name}")
                world.record("the other writer's rows are removed")
            await asyncio.sleep(2)
        world.record(f"requests sent: {sent}, served: {served}")
        if not trouble and served < sent:
            raise CaseError(f"only {served} of {sent} served without the disruption")
        return 0 if served else 1


play(run)
