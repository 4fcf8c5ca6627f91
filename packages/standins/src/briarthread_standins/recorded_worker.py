"""A stand-in for a worker of the platform that records the requests it gets."""

import os
import signal
import time
from typing import Any

from docopt import docopt

from briarthread_standins.direct_worker import DirectWorker, WorkerFault
from briarthread_standins.run_standin import run_standin

USAGE = """
Stand in for a worker of the platform and print the requests it gets.

Usage:
  recorded_worker [--delay=SECONDS] [--events=NUMBER] [--culprit=ID] NAME LISTEN

Options:
  --delay=SECONDS  Duration of each plain call [default: 0.3].
  --events=NUMBER  Events of each stream [default: 20].
  --culprit=ID     Segment of prompts at whose first event the process ends.

Each line has the seconds of the steady clock, "arrived", "refused" or "ended",
and the request's id; one meant for another worker is refused. From SIGUSR1 until
SIGUSR2 all requests are refused.
"""
ID_HEADER = b"x-request-id"
EXPECTED_HEADER = b"x-expect-instance"


class RecordedWorker:
    """
    Serve a worker and print a line when a request arrives and when it has ended.

    While ``refusing`` is set, a second worker of the same name refuses all requests.
    """

    def __init__(self, worker: DirectWorker) -> None:
        self.worker = worker
        self.refusing_worker = DirectWorker(worker.name)
        self.refusing = False

    def handle_signals(self) -> None:
        """Let signals of the process begin and end the refusing."""
        signal.signal(signal.SIGUSR1, lambda *_: self._set_refusing(True))
        signal.signal(signal.SIGUSR2, lambda *_: self._set_refusing(False))

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one ASGI call."""
        headers = dict(scope.get("headers", []))
        request = headers.get(ID_HEADER, b"").decode()
        worker = self.refusing_worker if self.refusing else self.worker
        if worker is self.refusing_worker:
            worker.faults.append(WorkerFault.REFUSE)
        if not request:
            await worker.app(scope, receive, send)
            return
        name = self.worker.name.encode()
        is_misdirected = headers.get(EXPECTED_HEADER, name) != name
        is_refused = worker is self.refusing_worker or is_misdirected
        _print(request, "refused" if is_refused else "arrived")
        try:
            await worker.app(scope, receive, send)
        finally:
            _print(request, "ended")

    def _set_refusing(self, refusing: bool) -> None:
        self.refusing = refusing


def _print(request: str, what: str) -> None:
    print(f"{time.monotonic():.4f} {what} {request}", flush=True)


def _end_process(worker: DirectWorker) -> None:
    print(f"{time.monotonic():.4f} crashed {worker.name}", flush=True)
    os._exit(1)


def main() -> None:
    """Run the stand-in as a process."""
    arguments = docopt(USAGE)
    worker = DirectWorker(arguments["NAME"], int(arguments["--events"]))
    worker.delay = float(arguments["--delay"])
    worker.crash_segments = frozenset(filter(None, [arguments["--culprit"]]))
    worker.on_crash = _end_process
    recorded = RecordedWorker(worker)
    recorded.handle_signals()
    run_standin(recorded, arguments["LISTEN"])


if __name__ == "__main__":
    main()
