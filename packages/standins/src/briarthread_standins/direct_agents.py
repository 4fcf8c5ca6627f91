"""Simulated lock-step groups with an agent for each rank."""

import random
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from briarthread_agent.ranks.direct_agent import DirectAgent
from briarthread_agent.ranks.settings import DirectAgentSettings
from briarthread_common.spread.replication_options import ReplicationOptions
from briarthread_common.utils.clock import Clock
from briarthread_platform.adapter import ADAPTER
from briarthread_standins.direct_group import DirectGroup
from briarthread_standins.direct_world import STORE_ADDRESS, DirectWorld

SERVICE = "model"


@dataclass
class GroupWorld:
    """
    Run the groups of one service with their agents in a ``DirectWorld``.

    Ranks are numbered across all groups. ``sizes`` gives the number of ranks of each
    group; if it is empty there is one group of ``ranks``.
    """

    tasks: TaskGroup
    ranks: int = 4
    sets: int = 2
    experts: int = 12
    seed: int = 1
    sizes: tuple[int, ...] = ()
    agents: dict[int, DirectAgent] = field(default_factory=dict)
    scopes: dict[int, anyio.CancelScope] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.world = DirectWorld(self.tasks, self.seed)
        self.network, self.store = self.world.network, self.world.store
        sizes = self.sizes or (self.ranks,)
        self.ranks = sum(sizes)
        self.groups = [
            DirectGroup(size, self.sets, self.experts, name=f"g-{number}")
            for number, size in enumerate(sizes)
        ]
        self.group = self.groups[0]
        self.all_ranks = [rank for group in self.groups for rank in group.ranks]
        for group in self.groups:
            group.tasks = self.tasks
            self.tasks.start_soon(group.run)
            for rank in group.ranks:
                self._listen(self.all_ranks.index(rank), group, rank.number)
        for number in range(self.ranks):
            self._register(number)

    def _listen(self, number: int, group: DirectGroup, position: int) -> None:
        self.network.listen(self.engine_address(number), "palermo", group.app(position))

    def _register(self, number: int) -> None:
        row = {
            "service": SERVICE,
            "address": self.engine_address(number),
            "zone": "palermo",
            "slots": 6,
            "state": "ready",
        }
        self.store.put("servers", f"rank-{number}", row)

    def group_of(self, number: int) -> DirectGroup:
        """Return the group that a rank belongs to."""
        rank = self.all_ranks[number]
        return next(group for group in self.groups if rank in group.ranks)

    def move_rank(self, number: int, new_group: DirectGroup) -> None:
        """Move a rank to another group; both are re-formed."""
        rank, old_group = self.all_ranks[number], self.group_of(number)
        old_group.ranks.remove(rank)
        new_group.ranks.append(rank)
        for group in (old_group, new_group):
            group.reform()
            for position, member in enumerate(group.ranks):
                self._listen(self.all_ranks.index(member), group, position)

    def engine_address(self, number: int) -> str:
        """Return the address of a rank's engine."""
        return f"10.2.0.{number + 1}:80"

    def agent_address(self, number: int) -> str:
        """Return the address of a rank's agent."""
        return f"10.2.0.{number + 1}:9"

    def start_agent(self, number: int) -> DirectAgent:
        """Start or restart the agent of a rank."""
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
            store=STORE_ADDRESS,
            spread=ReplicationOptions(name, "palermo", ("10.1.0.1:9",), 4.0, 2.0),
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
        """Kill the agent of a rank."""
        self.network.close(self.agent_address(number))
        scope = self.scopes.pop(number, None)
        if scope is not None:
            scope.cancel()
        self.agents.pop(number, None)

    def planner(self, group: DirectGroup | None = None) -> int | None:
        """Return the rank whose agent is the planner of a group."""
        wanted = group or self.group
        return next(
            (
                number
                for number, agent in self.agents.items()
                if agent.planner.role.is_held() and self.group_of(number) is wanted
            ),
            None,
        )

    async def _run_agent(self, number: int, agent: DirectAgent) -> None:
        with anyio.CancelScope() as scope:
            self.scopes[number] = scope
            async with anyio.create_task_group() as tasks:
                agent.start(tasks)
