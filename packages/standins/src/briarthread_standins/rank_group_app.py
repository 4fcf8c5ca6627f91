"""
Serve stand-ins for the engines of a lock-step group from one process.

Usage:
  rank_group_app [--ranks=N] [--experts=N] [--step=SECONDS] [--no-fencing] FIRST

Options:
  --ranks=N       Number of ranks, on consecutive ports [default: 4].
  --experts=N     Experts in the single layer [default: 16].
  --step=SECONDS  Duration of a step [default: 0.006].
  --no-fencing    Accept orders with outdated fencing tokens.

FIRST is the IP:PORT of the first rank. Each step routes tokens to experts in a
fixed, uneven way, so that a planner has a load to balance. GET /standin/group at
any rank returns the number of steps and of steps with more than one map.
"""

import anyio
from docopt import docopt

from briarthread_common.http.app import Route
from briarthread_common.http.call import Call
from briarthread_common.messages.expert_map import FIRST_MAP_VERSION, round_robin_map
from briarthread_standins.rank_group import RankEngine, RankGroup
from briarthread_standins.run_standin import serve_all

HOT_EXPERTS = 2
HOT_TOKENS = 50
COLD_TOKENS = 1


class RankGroupApp:
    """Serve a group and count the tokens of its experts."""

    def __init__(self, ranks: int, experts: int, step: float, fencing: bool) -> None:
        initial_map = round_robin_map(FIRST_MAP_VERSION, 1, experts, ranks)
        engines = [RankEngine(fencing, initial_map) for _ in range(ranks)]
        self.group = RankGroup(engines, step)
        self.tokens = [
            HOT_TOKENS if expert < HOT_EXPERTS else COLD_TOKENS
            for expert in range(experts)
        ]
        for engine in engines:
            engine.app.routes.append(Route("GET", "/standin/group", self._handle_state))

    async def count_tokens(self) -> None:
        """Update the engines' expert counts after each step until cancelled."""
        while True:
            counts = [[self.group.step * tokens for tokens in self.tokens]]
            for engine in self.group.engines:
                engine.counts = counts
            await anyio.sleep(self.group.step_time)

    async def run(self, first_address: str) -> None:
        """Serve all ranks until a signal stops the process."""
        host, _, port = first_address.rpartition(":")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.group.run)
            tasks.start_soon(self.count_tokens)
            await serve_all(
                {
                    f"{host}:{int(port) + rank}": engine.app
                    for rank, engine in enumerate(self.group.engines)
                }
            )
            tasks.cancel_scope.cancel()

    async def _handle_state(self, call: Call) -> None:
        response = {"steps": self.group.step, "mismatches": len(self.group.mismatches)}
        await call.reply_json(response)


def main() -> None:
    """Run the stand-in as a process."""
    arguments = docopt(__doc__)
    app = RankGroupApp(
        int(arguments["--ranks"]),
        int(arguments["--experts"]),
        float(arguments["--step"]),
        not arguments["--no-fencing"],
    )
    anyio.run(app.run, arguments["FIRST"])


if __name__ == "__main__":
    main()
