"""
Serve the load streams of many agents from one process.

Usage:
  agent_farm FIRST_PORT COUNT CHANGES

CHANGES is the number of load changes of each agent per second. Each agent serves hello
and load with the production code; in an exchange it always reports the versions of the
caller.
"""

import random

import anyio
from docopt import docopt

from briarthread_agent.limits.fair_queue import FairQueue
from briarthread_agent.limits.target_backoff import TargetBackoff
from briarthread_agent.reports.load_reporter import LoadReporter
from briarthread_common.core.metrics import Metrics
from briarthread_common.http.app import App, Route
from briarthread_common.http.call import Call
from briarthread_common.http.server import HttpServer, open_listener
from briarthread_common.messages.exchange import Exchange
from briarthread_common.messages.hello import HELLO_PATH, Hello
from briarthread_common.spread.feed_replicator import EXCHANGE_PATH
from briarthread_common.utils.clock import Clock
from briarthread_common.utils.hashing import random_id

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_RUNNING = 16


class SimulatedAgent:
    """Simulated agent: its load and its routes."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        backoff = TargetBackoff(Metrics())
        self.queue = FairQueue(Clock(), backoff, MAX_RUNNING, MAX_RUNNING)
        self.reporter = LoadReporter(random_id(rng), self.queue, backoff)
        self.app = App(
            [
                Route("GET", "/agent/v1/load", self.reporter.handle_stream),
                Route("GET", HELLO_PATH, self._handle_hello),
                Route("POST", EXCHANGE_PATH, self._handle_exchange),
            ]
        )

    async def change_load(self, changes_per_second: float) -> None:
        """Change the load ``changes_per_second`` times per second until cancelled."""
        while changes_per_second > 0:
            await anyio.sleep(self.rng.uniform(0.5, 1.5) / changes_per_second)
            self.queue.running = self.rng.randrange(MAX_RUNNING)

    async def _handle_hello(self, call: Call) -> None:
        await call.reply_json(Hello("farm", self.reporter.incarnation))

    async def _handle_exchange(self, call: Call) -> None:
        request = await call.read_json(Exchange, MAX_BODY_BYTES)
        await call.reply_json(Exchange(request.versions))


async def _no_drain() -> None:
    return


async def run_farm(first_port: int, count: int, changes_per_second: float) -> None:
    """Serve all agents until a signal stops the process."""
    rng = random.Random(first_port)
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            agent = SimulatedAgent(rng)
            listen = f"127.0.0.1:{first_port + number}"
            tasks.start_soon(agent.change_load, changes_per_second)
            server = HttpServer(agent.app, [open_listener(listen)], 1)
            tasks.start_soon(server.run, _no_drain)


def main() -> None:
    """Run the farm."""
    arguments = docopt(__doc__)
    anyio.run(
        run_farm,
        int(arguments["FIRST_PORT"]),
        int(arguments["COUNT"]),
        float(arguments["CHANGES"]),
    )


if __name__ == "__main__":
    main()
