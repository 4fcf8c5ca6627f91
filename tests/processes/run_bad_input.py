"""
Send bad input to a real entry and a real agent, and see that they live on.

Usage:
  run_bad_input

It prints a line a case and exits with 1 if one failed.
"""

import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from docopt import docopt

from briarthread_measure.process_usage import read_usage
from briarthread_standins.deployment import Deployment, wait_until

TEXT = Path(__file__).parents[2] / "examples" / "caruso.ini"
DATA_CENTRES = ["palermo", "catania", "messina"]
SERVICES = {"diary": "plain_service", "assistant": "stream_engine"}
AUTH = "Authorization: Bearer salon-3\r\n"
HEAD = f"POST /v1/services/diary/x HTTP/1.1\r\nHost: x\r\n{AUTH}"
EXCHANGE = (
    'POST /peer/v1/exchange HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n{"a":'
)
READ_SECONDS = 3.0
SLOW_READERS = 12
SLOW_SECONDS = 4.0
MAX_GROWTH = 20_000_000
OK = 200
MANY_TOKENS = b'{"tokens": 100000}'

CASES: dict[str, tuple[str, tuple[int, ...]]] = {
    "two lengths that differ": (
        f"{HEAD}Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        (400,),
    ),
    "length and chunks": (
        f"{HEAD}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        (400,),
    ),
    "two keys": (
        f"{HEAD}Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n",
        (400,),
    ),
    "head without end": (f"{HEAD}X: {'y' * 70_000}", (400, 431)),
    "no HTTP": ("\x00\x01\x02 hello\r\n\r\n", (400,)),
    "oversized body": (
        f"{HEAD}Content-Length: 9000000\r\n\r\n{'z' * 2_000_000}",
        (413,),
    ),
    "body cut short": (f"{HEAD}Content-Length: 10\r\n\r\nabc", ()),
    "broken JSON between processes": (EXCHANGE, (400,)),
    "key with a line break": (
        f"{HEAD}Idempotency-Key: a\tb\r\nContent-Length: 0\r\n\r\n",
        (400,),
    ),
}


def send(address: str, raw: str, half_close: bool = True) -> int:
    """Send raw bytes and return the status of the answer, 0 for none."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), READ_SECONDS) as connection:
        try:
            connection.sendall(raw.encode("latin-1"))
            if half_close:
                connection.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        try:
            line = connection.recv(4096).split(b"\r\n")[0].split(b" ")
        except OSError:
            return 0
    return int(line[1]) if len(line) > 1 else 0


def run_case(deployment: Deployment, name: str) -> bool:
    """Run one case and tell whether the entry answered as it should and lives."""
    raw, expected = CASES[name]
    entry = deployment.entry_address("palermo")
    status = send(entry, raw)
    alive = deployment.get(entry, "/healthz") == {"alive": True}
    good = alive and (status in expected if expected else status in (0, 400))
    print(f"{'ok' if good else 'FAILED'}: {name}: {status or 'closed'}", flush=True)
    return good


def hang_up(deployment: Deployment) -> bool:
    """Hang up in a stream; the engine must take the request out of its batch."""
    host, _, port = deployment.entry_address("palermo").rpartition(":")
    head = (
        f"POST /v1/services/assistant/x HTTP/1.1\r\nHost: x\r\n{AUTH}"
        f"Content-Length: {len(MANY_TOKENS)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), READ_SECONDS) as connection:
        connection.sendall(head.encode() + MANY_TOKENS)
        connection.recv(4096)
        time.sleep(0.2)
    good = True
    try:
        wait_until(lambda: cancelled(deployment) == 1, "the cancel")
    except TimeoutError:
        good = False
    print(f"{'ok' if good else 'FAILED'}: caller hangs up in a stream", flush=True)
    return good


def read_slowly(deployment: Deployment) -> bool:
    """Do not read a long stream; the entry must stay small and go on serving."""
    entry = deployment.processes["entry-palermo-0"]
    host, _, port = entry.address.rpartition(":")
    head = (
        f"POST /v1/services/assistant/x HTTP/1.1\r\nHost: x\r\n{AUTH}"
        f"Content-Length: {len(MANY_TOKENS)}\r\n\r\n"
    )
    before = read_usage(entry.handle.pid).rss
    connections = []
    for _ in range(SLOW_READERS):
        connection = socket.create_connection((host, int(port)), READ_SECONDS)
        connection.sendall(head.encode() + MANY_TOKENS)
        connections.append(connection)
    time.sleep(SLOW_SECONDS)
    status = send(entry.address, f"{HEAD}Content-Length: 0\r\n\r\n", half_close=False)
    grown = read_usage(entry.handle.pid).rss - before
    for connection in connections:
        connection.close()
    good = status == OK and grown < MAX_GROWTH
    print(
        f"{'ok' if good else 'FAILED'}: {SLOW_READERS} slow readers: other request "
        f"{status}, entry grew by {grown / 1e6:.1f} MB",
        flush=True,
    )
    return good


def cancelled(deployment: Deployment) -> int:
    """Return how many requests the engines have taken out of their batches."""
    return sum(
        deployment.get(address, "/standin/batch")["cancelled"]
        for name, address in deployment.standins.items()
        if name.startswith("assistant-")
    )


def main() -> int:
    """Run all cases and return the exit code."""
    docopt(__doc__)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), DATA_CENTRES, SERVICES)
        try:
            deployment.start()
            deployment.apply(TEXT)
            deployment.wait_until_ready()
            checks: list[Callable[[], bool]] = [
                *(lambda name=name: run_case(deployment, name) for name in CASES),
                lambda: hang_up(deployment),
                lambda: read_slowly(deployment),
            ]
            results = [check() for check in checks]
        finally:
            deployment.stop()
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
