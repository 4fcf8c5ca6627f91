"""
Send invalid input to a real entry and a real agent, and check that they survive it.

Usage:
  run_bad_input

It prints one line per case and exits with 1 if a case failed.
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
READ_TIMEOUT_SECONDS = 3.0
SLOW_READERS = 12
SLOW_READ_SECONDS = 4.0
MAX_GROWTH_BYTES = 20_000_000
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
    """Send raw bytes and return the status of the response, 0 if there is none."""
    host, _, port = address.rpartition(":")
    with socket.create_connection(
        (host, int(port)), READ_TIMEOUT_SECONDS
    ) as connection:
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
    """Return whether the entry responds to one case as expected and stays alive."""
    raw, expected = CASES[name]
    entry = deployment.entry_address("palermo")
    status = send(entry, raw)
    alive = deployment.get(entry, "/healthz") == {"alive": True}
    passed = alive and (status in expected if expected else status in (0, 400))
    print(f"{'ok' if passed else 'FAILED'}: {name}: {status or 'closed'}", flush=True)
    return passed


def disconnect_caller(deployment: Deployment) -> bool:
    """Close a connection during a stream; the engine must then cancel the request."""
    host, _, port = deployment.entry_address("palermo").rpartition(":")
    head = (
        f"POST /v1/services/assistant/x HTTP/1.1\r\nHost: x\r\n{AUTH}"
        f"Content-Length: {len(MANY_TOKENS)}\r\n\r\n"
    )
    with socket.create_connection(
        (host, int(port)), READ_TIMEOUT_SECONDS
    ) as connection:
        connection.sendall(head.encode() + MANY_TOKENS)
        connection.recv(4096)
        time.sleep(0.2)
    passed = True
    try:
        wait_until(lambda: cancelled_requests(deployment) == 1, "the cancel")
    except TimeoutError:
        passed = False
    print(f"{'ok' if passed else 'FAILED'}: caller hangs up in a stream", flush=True)
    return passed


def stall_readers(deployment: Deployment) -> bool:
    """Leave long streams unread; the entry must stay small and serve other requests."""
    entry = deployment.processes["entry-palermo-0"]
    host, _, port = entry.address.rpartition(":")
    head = (
        f"POST /v1/services/assistant/x HTTP/1.1\r\nHost: x\r\n{AUTH}"
        f"Content-Length: {len(MANY_TOKENS)}\r\n\r\n"
    )
    before = read_usage(entry.handle.pid).rss
    connections = []
    for _ in range(SLOW_READERS):
        connection = socket.create_connection((host, int(port)), READ_TIMEOUT_SECONDS)
        connection.sendall(head.encode() + MANY_TOKENS)
        connections.append(connection)
    time.sleep(SLOW_READ_SECONDS)
    status = send(entry.address, f"{HEAD}Content-Length: 0\r\n\r\n", half_close=False)
    growth = read_usage(entry.handle.pid).rss - before
    for connection in connections:
        connection.close()
    passed = status == OK and growth < MAX_GROWTH_BYTES
    print(
        f"{'ok' if passed else 'FAILED'}: {SLOW_READERS} slow readers: other request "
        f"{status}, entry grew by {growth / 1e6:.1f} MB",
        flush=True,
    )
    return passed


def cancelled_requests(deployment: Deployment) -> int:
    """Return how many requests the engines have cancelled."""
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
                lambda: disconnect_caller(deployment),
                lambda: stall_readers(deployment),
            ]
            results = [check() for check in checks]
        finally:
            deployment.stop()
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
