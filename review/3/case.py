"""The operator takes the keys of the only tenant away while its client goes on."""

import asyncio
import os
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, os.environ.get("REVIEW_BUILD", str(CASE.parent / "build")))

from deployment import (  # noqa: E402
    CONFIG_SECONDS,
    CaseError,
    Deployment,
    config,
    play,
    route,
)

TAKEN_KEYS = ("n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk")
NEVER_A_KEY = "zzzzzzzzzzzzzzzzzzzz"


async def run(trouble: bool) -> int:
    """Return 1 if a request ran with a key that was taken away or never held."""
    async with Deployment(CASE) as world:
        routes = [
            route("/confirm/", "agenda", "unsafe"),
            route("/daylist/", "agenda", "safe"),
        ]
        tenants = [{"name": "hule930", "apiKeys": list(TAKEN_KEYS), "priority": 1}]
        first = config(1, routes, ["agenda"], tenants=tenants)
        world.store.put("op", "config", first)
        workers = [
            await world.add_plain_worker(f"i-{n}", "agenda", n) for n in range(3)
        ]
        entries = await world.start_entries()

        async def ask(label: str, key: str | None) -> set[int]:
            """Send a request of each kind to each entry; return the statuses."""
            headers = () if key is None else (("X-Credential", key),)
            statuses = set()
            for number, entry in enumerate(entries):
                for kind, method in (("confirm", "POST"), ("daylist", "GET")):
                    answer = await world.send(
                        entry,
                        method,
                        f"/{kind}/1",
                        f"{label}-{kind}-{number}",
                        headers,
                        b"{}" if method == "POST" else None,
                    )
                    statuses.add(answer.status)
            return statuses

        for number, key in enumerate(TAKEN_KEYS):
            if await ask(f"before-key{number}", key) != {200}:
                raise CaseError("the tenant isn't served before the change")
        if await ask("before-unknown", NEVER_A_KEY) != {401}:
            raise CaseError("an unknown key isn't refused before the change")
        left = [] if trouble else tenants
        world.store.put("op", "config", {**first, "version": 5, "tenants": left})
        world.record(f"the store acknowledges version 5, tenants: {left}")
        await asyncio.sleep(CONFIG_SECONDS + 1.0)
        for number, key in enumerate(TAKEN_KEYS):
            await ask(f"after-key{number}", key)
        await ask("after-unknown", NEVER_A_KEY)
        await ask("after-none", None)
        ran = [run.headers["x-request-id"] for worker in workers for run in worker.runs]
        taken = [r for r in ran if r.startswith("after-key") and trouble]
        unknown = [r for r in ran if r.startswith(("after-unknown", "after-none"))]
        world.record(f"ran with a key that was taken away: {len(taken)} of 12")
        world.record(f"ran with a key that no config held: {len(unknown)} of 12")
        return 1 if taken or unknown else 0


play(run)
