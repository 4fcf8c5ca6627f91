"""A worker that runs part of its requests and then answers them with a 503."""

import asyncio
import os
import random
import sys
from collections import Counter
from pathlib import Path

from harness import (
    BROKEN,
    CANNOT_RUN,
    HELD,
    Deployment,
    Message,
    PlainWorker,
    Record,
    build_config,
    encode_response,
    send_request,
    worker_row,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["palermo", "catania", "messina"]
BOOKINGS = 300
PAUSE_S = 0.1
FAILED_SHARE = 0.4
"""Share of its requests that the grey worker fails, the default x of srv_grey."""
PROMISES = (408, 421, 429, 503)
RETRIES = 1


class BookingWorker(PlainWorker):
    """A worker that books; a grey one then fails part of its requests."""

    def __init__(self, name: str, record: Record, is_grey: bool) -> None:
        super().__init__(name, record)
        self.rng = random.Random(name)
        self.is_grey = is_grey
        self.booked: Counter[str] = Counter()

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Book; the answer of a failed request doesn't say that it has not run."""
        complete = await super().answer(request, writer)
        request_id = request.headers.get("x-request-id", "")
        if not self.runs.get(request_id):
            return complete
        self.booked[request.body.decode()] += 1
        if not self.is_grey or self.rng.random() >= FAILED_SHARE:
            return complete
        self.record.add("run and failed with 503 by", self.name, request_id)
        stamp = {"x-server-stamp": f"{self.name}.{request_id}"}
        more = {"x-request-id": request_id, "x-server-load": "0,0,6", **stamp}
        return encode_response(503, b"the diary is not reachable", more)


async def play(record: Record) -> int:
    """Play the case; return its exit code."""
    deployment = Deployment(record)
    workers: list[BookingWorker] = []
    try:
        await deployment.store.start()
        for number, zone in enumerate(ZONES):
            worker = BookingWorker(f"i-{number}", record, TROUBLE and number == 0)
            await worker.start()
            workers.append(worker)
            row = worker_row(worker, "agenda", zone)
            deployment.store.put("servers", worker.name, row)
        deployment.store.put("op", "config", build_config())
        deployment.start_heartbeats(workers)
        await deployment.start_entries(ZONES)
        return await judge(record, deployment, workers)
    finally:
        deployment.stop()
        for worker in workers:
            worker.stop()


async def judge(
    record: Record, deployment: Deployment, workers: list[BookingWorker]
) -> int:
    """Let clients book; return the exit code."""
    statuses: dict[str, int] = {}
    tasks = []
    for number in range(BOOKINGS):
        addresses = list(deployment.front.values())
        order = [addresses[(number + n) % len(addresses)] for n in range(RETRIES + 1)]
        tasks.append(asyncio.create_task(book(record, order, number, statuses)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)
    runs = Counter()
    booked = Counter()
    for worker in workers:
        runs.update(worker.runs)
        booked.update(worker.booked)
    served = sum(status == 200 for status in statuses.values())
    if not served:
        return CANNOT_RUN
    broken = [
        name for name, status in statuses.items() if status in PROMISES and runs[name]
    ]
    twice = [booking for booking, count in booked.items() if count > 1]
    record.add("client attempts:", len(statuses), "answered 200:", served)
    record.add("answered with a promise not to have run, but run:", *broken)
    record.add("REFUSED broken:", len(broken), "times")
    record.add("bookings made twice by clients that trusted the promise:", *twice)
    return BROKEN if broken else HELD


async def book(
    record: Record, addresses: list[str], number: int, statuses: dict[str, int]
) -> None:
    """Book, and once more only after a promise, as the users' clients do."""
    booking = f"booking-{number}"
    for attempt, address in enumerate(addresses):
        name = f"{booking}-{attempt}"
        answer = await send_request(
            address, "POST", f"/book/{number}", name, body=booking.encode()
        )
        statuses[name] = answer.status
        record.add("answered", name, answer.status, answer.error)
        if answer.status not in PROMISES:
            return


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        code = asyncio.run(play(record))
    except (OSError, TimeoutError) as error:
        record.add("could not run:", type(error).__name__, error)
        code = CANNOT_RUN
    record.add("trouble", int(TROUBLE), "exit code", code)
    return code


if __name__ == "__main__":
    sys.exit(main())
