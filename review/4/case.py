"""A row of another writer that can't be read, among those of sound workers."""

import asyncio
import os
import sys
import time
from pathlib import Path

from harness import (
    BROKEN,
    CANNOT_RUN,
    HELD,
    Deployment,
    PlainWorker,
    Record,
    build_config,
    send_request,
    worker_row,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["palermo", "catania", "messina"]
CALM_S = 5.0
WATCHED_S = 30.0
"""Time after the row was written for which the entries are watched."""
RECOVER_S = 12.0
"""recoverS of the deployment's sheet."""
NESTED = 1500
"""Arrays within each other in the row: 3 KB, a twentieth of rowBytes."""
MOST_ENDS = 3


def unreadable_row() -> bytes:
    """Return a row whose only field has another type and can't be read to its end."""
    return b'{"note":' + b"[" * NESTED + b"]" * NESTED + b"}"


async def play(record: Record) -> int:
    """Play the case; return its exit code."""
    deployment = Deployment(record)
    workers: list[PlainWorker] = []
    try:
        await deployment.store.start()
        for number, zone in enumerate(ZONES):
            worker = PlainWorker(f"i-{number}", record)
            await worker.start()
            workers.append(worker)
            row = worker_row(worker, "agenda", zone)
            deployment.store.put("servers", worker.name, row)
        deployment.store.put("op", "config", build_config())
        deployment.start_heartbeats(workers)
        await deployment.start_entries(ZONES)
        return await judge(record, deployment)
    finally:
        deployment.stop()
        for worker in workers:
            worker.stop()


async def judge(record: Record, deployment: Deployment) -> int:
    """Send requests before and after the row is written; return the exit code."""
    calm = await send_for(record, deployment, CALM_S, "calm")
    if min(calm, default=0) != 200 or max(calm) != 200:
        record.add("requests failed before the row was written:", calm)
        return CANNOT_RUN
    row = unreadable_row() if TROUBLE else b'{"note":1}'
    deployment.store.put("servers", "i-other-writer", row)
    record.add("row written by another writer:", len(row), "bytes")
    await send_for(record, deployment, RECOVER_S, "soon")
    late = await send_for(record, deployment, WATCHED_S - RECOVER_S, "late")
    served = sum(status == 200 for status in late)
    ends = {name: len(p.ends) for name, p in deployment.programs.items()}
    for name in deployment.programs:
        for line in deployment.log_lines(name, "RecursionError")[:2]:
            record.add("log of", name, line[:160])
    record.add("ends of entries by themselves:", ends)
    record.add(f"served later than recoverS after the row: {served} of {len(late)}")
    ended = sum(count >= MOST_ENDS for count in ends.values())
    fault = ended >= 2
    recover = served < len(late) / 4
    record.add("Fault broken:", fault, "RECOVER figure below a quarter:", recover)
    return BROKEN if fault else HELD


async def send_for(
    record: Record, deployment: Deployment, seconds: float, label: str
) -> list[int]:
    """Send safe and unsafe requests to all entries; return their statuses."""
    until, number, tasks = time.monotonic() + seconds, 0, []
    while time.monotonic() < until:
        address = list(deployment.front.values())[number % len(ZONES)]
        method, path = ("GET", "/list/") if number % 2 else ("POST", "/book/")
        name = f"{label}-{number}"
        tasks.append(asyncio.create_task(send_one(record, address, method, path, name)))
        number += 1
        await asyncio.sleep(0.1)
    return list(await asyncio.gather(*tasks))


async def send_one(
    record: Record, address: str, method: str, path: str, name: str
) -> int:
    """Send a request and record its answer."""
    answer = await send_request(address, method, f"{path}{name}", name)
    record.add("answered", name, answer.status, f"{answer.seconds:.3f}", answer.error)
    return answer.status


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        code = asyncio.run(play(record))
    except (OSError, TimeoutError, FileNotFoundError) as error:
        record.add("could not run:", type(error).__name__, error)
        code = CANNOT_RUN
    record.add("trouble", int(TROUBLE), "exit code", code)
    return code


if __name__ == "__main__":
    sys.exit(main())
