"""A stand-in for a worker of the platform that records the requests it gets."""

import time
from typing import Any

from docopt import docopt

from briarthread_standins.direct_worker import DirectWorker
from briarthread_standins.run_standin import run_standin

USAGE = """
Stand in for a worker of the platform and print the requests it gets.

Usage:
  recorded_worker [--delay=SECONDS] [--events=NUMBER] NAME LISTEN

Options:
  --delay=SECONDS  Duration of each plain call [default: 0.3].
  --events=NUMBER  Events of each stream [default: 20].

Each line has the seconds of the machine's steady clock, "arrived" or "ended", and the
request's id.
"""
ID_HEADER = b"x-request-id"


class RecordedWorker:
    """Serve a worker and print a line when a request arrives and when it has ended."""

    def __init__(self, worker: DirectWorker) -> None:
        self.worker = worker

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one ASGI call."""
        request = dict(scope.get("headers", [])).get(ID_HEADER, b"").decode()
        _print(request, "arrived")
        try:
            await self.worker.app(scope, receive, send)
        finally:
            _print(request, "ended")


def _print(request: str, what: str) -> None:
    print(f"{time.monotonic():.4f} {what} {request}", flush=True)


def main() -> None:
    """Run the stand-in as a process."""
    arguments = docopt(USAGE)
    worker = DirectWorker(arguments["NAME"], int(arguments["--events"]))
    worker.delay = float(arguments["--delay"])
    run_standin(RecordedWorker(worker), arguments["LISTEN"])


if __name__ == "__main__":
    main()
