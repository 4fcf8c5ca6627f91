"""A stand-in for a plain service that counts its runs per body."""

from collections import Counter

import anyio
import msgspec
from docopt import docopt

from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_standins.caller_host import caller_host
from briarthread_standins.refusals import Refusals
from briarthread_standins.run_standin import run_standin

USAGE = """
Stand in for a plain service that counts its runs.

Usage:
  plain_service [--delay=SECONDS] LISTEN

Options:
  --delay=SECONDS  Duration of each call [default: 0.005].
"""
MAX_BODY_BYTES = 64 * 1024 * 1024


class PlainService:
    """
    Respond to each call after ``delay`` seconds and count how often each body ran.

    The run is counted before the response is sent, as the effect of a booking is. The
    body stands for the idempotency key, which a target does not receive. ``refusals``
    sets when it responds 503 with Retry-After. While ``leaving`` is set, each
    successful response announces a shutdown.
    """

    def __init__(self, delay: float = 0.005) -> None:
        self.delay = delay
        self.runs: Counter[str] = Counter()
        self.refusals = Refusals()
        self.leaving = False
        self.app = App(
            [
                Route("GET", "/standin/runs", self._handle_runs),
                Route("*", "/", self._handle_call),
            ]
        )

    async def _handle_call(self, call: Call) -> None:
        body = await call.read_body(MAX_BODY_BYTES)
        if self.refusals.record_arrival(caller_host(call)):
            await call.reply(503, b"", [("retry-after", self.refusals.retry_after)])
            return
        self.runs[body.decode()] += 1
        await anyio.sleep(self.delay)
        response = {
            "done": call.path,
            "run": self.runs[body.decode()],
            "body": body.decode(),
        }
        headers = [("target-leaving", "1")] if self.leaving else []
        await call.reply(200, msgspec.json.encode(response), headers)

    async def _handle_runs(self, call: Call) -> None:
        body = msgspec.json.encode(self.runs)
        await call.reply(200, body, [("content-type", "application/json")])


def main() -> None:
    """Run the stand-in as a process."""
    arguments = docopt(USAGE)
    service = PlainService(float(arguments["--delay"]))
    run_standin(service.app, arguments["LISTEN"])


if __name__ == "__main__":
    main()
