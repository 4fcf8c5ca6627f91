"""A lock-step group with an agent beside each rank, in one process."""

import random
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from briarthread_agent.ranks.direct_agent import DirectAgent
from briarthread_agent.ranks.settings import DirectAgentSettings
from briarthread_common.spread.spread_options import SpreadOptions
from briarthread_common.utils.clock import Clock
from briarthread_platform.adapter import ADAPTER
from briarthread_standins.direct_group import DirectGroup
from briarthread_standins.direct_world import STORE, DirectWorld

SERVICE = "model"


@dataclass
class GroupWorld:
    """Hold a group, its agents and the world that they live in."""

    tasks: TaskGroup
    ranks: int = 4
    sets: int = 2
    experts: int = 12
    seed: int = 1
    agents: dict[int, DirectAgent] = field(default_factory=dict)
    scopes: dict[int, anyio.CancelScope] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.world = DirectWorld(self.tasks, self.seed)
        self.network, self.store = self.world.network, self.world.store
        self.group = DirectGroup(self.ranks, self.sets, self.experts)
        self.group.tasks = self.tasks
        self.tasks.start_soon(self.group.run)
        for number in range(self.ranks):
            engine = self.engine_address(number)
            self.network.listen(engine, "palermo", self.group.app(number))
            row = {
                "service": SERVICE,
                "address": engine,
                "zone": "palermo",
                "slots": 6,
                "state": "ready",
            }
            self.store.put("servers", f"rank-{number}", row)

    def engine_address(self, number: int) -> str:
        """Return where a rank's engine listens."""
        return f"10.2.0.{number + 1}:80"

    def agent_address(self, number: int) -> str:
        """Return where a rank's agent listens."""
        return f"10.2.0.{number + 1}:9"

    def start_agent(self, number: int) -> DirectAgent:
        """Start the agent beside a rank, anew if it ran before."""
        name, address = f"side-{number}", self.agent_address(number)
        settings = DirectAgentSettings(
            name=name,
            data_centre="palermo",
            service=SERVICE,
            listen=address,
            drain_notice=0.1,
            drain_timeout=1.0,
            target=self.engine_address(number),
            adapter="briarthread_platform.adapter",
            store=STORE,
            spread=SpreadOptions(name, "palermo", ("10.1.0.1:9",), 4.0, 2.0),
            log_level="INFO",
            log_json=False,
        )
        channel = self.network.channel(address, "palermo")
        rng = random.Random(self.seed * 100 + number)
        agent = DirectAgent(settings, ADAPTER, channel, Clock(), rng)
        self.agents[number] = agent
        self.network.listen(address, "palermo", agent.app)
        self.tasks.start_soon(self._run_agent, number, agent)
        return agent

    def kill_agent(self, number: int) -> None:
        """Kill the agent beside a rank."""
        self.network.close(self.agent_address(number))
        scope = self.scopes.pop(number, None)
        if scope is not None:
            scope.cancel()
        self.agents.pop(number, None)

    def planner(self) -> int | None:
        """Return the rank beside which the planner is."""
        return next(
            (n for n, agent in self.agents.items() if agent.planner.seat.held()), None
        )

    async def _run_agent(self, number: int, agent: DirectAgent) -> None:
        with anyio.CancelScope() as scope:
            self.scopes[number] = scope
            async with anyio.create_task_group() as tasks:
                agent.start(tasks)
