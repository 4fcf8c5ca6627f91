"""
Serve the engines of a lock-step group from one process.

Usage:
  rank_group_app [--ranks=N] [--experts=N] [--step=SECONDS] [--no-fencing] FIRST

Options:
  --ranks=N       Ranks, at IP:PORT and the ports after it [default: 4].
  --experts=N     Experts of the one layer [default: 16].
  --step=SECONDS  Time of a step [default: 0.006].
  --no-fencing    Take orders under old fencing numbers too.

FIRST is the IP:PORT of the first rank. Each step routes tokens to experts in a
fixed, uneven way, so that a planner has something to do. GET /standin/group at
any rank tells the steps run and those with more than one map.
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
    """Hold a group and count the tokens of its experts."""

    def __init__(self, ranks: int, experts: int, step: float, fencing: bool) -> None:
        first = round_robin_map(FIRST_MAP_VERSION, 1, experts, ranks)
        engines = [RankEngine(fencing, first) for _ in range(ranks)]
        self.group = RankGroup(engines, step)
        self.tokens = [
            HOT_TOKENS if expert < HOT_EXPERTS else COLD_TOKENS
            for expert in range(experts)
        ]
        for engine in engines:
            engine.app.routes.append(Route("GET", "/standin/group", self._handle))

    async def count_tokens(self) -> None:
        """Keep the engines' counts in line with the steps run."""
        while True:
            counts = [[self.group.step * tokens for tokens in self.tokens]]
            for engine in self.group.engines:
                engine.counts = counts
            await anyio.sleep(self.group.step_time)

    async def run(self, first: str) -> None:
        """Serve all ranks until a signal stops the process."""
        host, _, port = first.rpartition(":")
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

    async def _handle(self, call: Call) -> None:
        state = {"steps": self.group.step, "mismatches": len(self.group.mismatches)}
        await call.reply_json(state)


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
