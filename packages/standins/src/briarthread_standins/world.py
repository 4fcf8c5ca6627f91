"""A simulated deployment in one process."""

import random
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from briarthread_agent.agent import Agent
from briarthread_agent.settings import AgentSettings
from briarthread_common.feeds.feed_set import FeedName
from briarthread_common.http.channel import ChannelRequest
from briarthread_common.messages.expert_map import ExpertMap
from briarthread_common.messages.instance import (
    Instance,
    InstanceRole,
    InstanceState,
)
from briarthread_common.platform.feed_store import FeedStore
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.spread.replication_options import ReplicationOptions
from briarthread_common.text.split_text import split_text
from briarthread_common.text.text_store import ApplyResult, TextStore
from briarthread_common.utils.clock import Clock
from briarthread_entry.entry import Entry
from briarthread_entry.settings import EntrySettings
from briarthread_standins.fake_network import FakeNetwork
from briarthread_standins.plain_service import PlainService
from briarthread_standins.platform_app import PlatformApp
from briarthread_standins.rank_group import RankEngine, RankGroup

PLATFORM_ADDRESS = "10.0.0.1:80"
PLATFORM_SITE = "platform"
CALLER_SITE = "callers"
DRAIN_NOTICE = 1.0
"""Drain notice in seconds."""
DRAIN_TIMEOUT = 30.0
"""Drain timeout in seconds."""
MAX_SEED = 2**32


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A response as a caller received it."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def outcome(self) -> str:
        """Return the outcome that a failed response names, or an empty string."""
        return self.headers.get("briarthread-outcome", "")


@dataclass(eq=False, slots=True)
class RunningProcess:
    """One running process of the deployment."""

    instance: Instance
    component: Entry | Agent
    scope: anyio.CancelScope


class World:
    """
    Run entries, agents, targets and the platform on a fake network.

    Each data centre is a site of the network, so that it can be partitioned from the
    others, from the platform and from callers. Targets keep running and keep their
    counts when their agent is killed.
    """

    def __init__(self, tasks: TaskGroup, seed: int = 0) -> None:
        self.tasks = tasks
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.network = FakeNetwork(tasks)
        self.platform = PlatformApp()
        self.network.listen(PLATFORM_ADDRESS, PLATFORM_SITE, self.platform.app)
        self.processes: dict[str, RunningProcess] = {}
        self.services: dict[str, PlainService] = {}
        self.instances: dict[str, Instance] = {}
        self.host_count = 0

    def add_entry(self, name: str, data_centre: str) -> Instance:
        """Register an entry with the platform and start it."""
        address = self._next_address()
        instance = Instance(name, data_centre, address, InstanceRole.ENTRY)
        return self._add(instance)

    def add_target(
        self, name: str, data_centre: str, service: str, delay: float = 0.005
    ) -> Instance:
        """Register a target with its agent and start both."""
        target = PlainService(delay)
        self.services[name] = target
        self.network.listen(f"target-{name}", f"slot-{name}", target.app)
        address = self._next_address()
        instance = Instance(name, data_centre, address, InstanceRole.TARGET, service)
        return self._add(instance)

    def add_group(
        self,
        names: list[str],
        data_centre: str,
        service: str,
        fencing: bool,
        initial_map: ExpertMap | None = None,
    ) -> RankGroup:
        """Register the targets of a lock-step group and start them."""
        engines = [RankEngine(fencing, initial_map) for _ in names]
        group = RankGroup(engines)
        for name, engine in zip(names, engines, strict=True):
            self.network.listen(
                f"target-{name}", f"slot-{name}", engine.app, accepts_late_calls=False
            )
            address = self._next_address()
            self._add(
                Instance(name, data_centre, address, InstanceRole.TARGET, service)
            )
        self.tasks.start_soon(group.run)
        return group

    def start(self, name: str) -> None:
        """Start the process of an instance, as a new incarnation."""
        instance = self.instances[name]
        channel = self.network.channel(instance.address, instance.data_centre)
        rng = random.Random(self.rng.randrange(MAX_SEED))
        if instance.role is InstanceRole.ENTRY:
            self.tasks.start_soon(self._run_entry, instance, channel, rng)
        else:
            self.tasks.start_soon(self._run_agent, instance, channel, rng)

    def kill(self, name: str) -> None:
        """Kill a process without draining it."""
        process = self.processes.pop(name, None)
        if process is not None:
            self.network.close(process.instance.address)
            process.scope.cancel()

    async def stop(self, name: str) -> None:
        """Stop a process gracefully."""
        process = self.processes[name]
        await process.component.drain()
        await self._wait_for_calls(process.instance.address)
        self.kill(name)

    def mark_leaving(self, name: str) -> None:
        """Mark an instance as leaving in the platform's list."""
        row = self.instances[name]
        leaving = Instance(
            row.name,
            row.data_centre,
            row.address,
            row.role,
            row.service,
            InstanceState.LEAVING,
        )
        self.platform.state.put_instances([leaving])

    async def apply(self, text: str, base: int = 0) -> ApplyResult:
        """Apply a services text as an operator would."""
        channel = self.network.channel("operator", CALLER_SITE)
        platform = PlatformClient(channel, [PLATFORM_ADDRESS], 2.0)
        store = TextStore(FeedStore(platform, FeedName.TEXT))
        return await store.apply(base, split_text(text), "test", self.clock.now())

    async def call(
        self,
        entry: str,
        path: str,
        account_key: str,
        key: str | None = None,
        body: bytes = b"",
        timeout: float | None = None,
        method: str = "POST",
    ) -> CallerResponse:
        """Send a caller's request through an entry and return the response."""
        headers = [("authorization", f"Bearer {account_key}")]
        if key is not None:
            headers.append(("idempotency-key", key))
        if timeout is not None:
            headers.append(("briarthread-timeout", str(timeout)))
        request = ChannelRequest(
            method,
            self.instances[entry].address,
            f"/v1/services/{path}",
            tuple(headers),
            body,
        )
        channel = self.network.channel("caller", CALLER_SITE)
        async with channel.stream(request) as response:
            chunks = [chunk async for chunk in response.body]
            return CallerResponse(
                response.status, dict(response.headers), b"".join(chunks)
            )

    def run_count(self, body: str) -> int:
        """Return how often a body ran, over all targets."""
        return sum(service.runs[body] for service in self.services.values())

    def agent(self, name: str) -> Agent:
        """Return the running agent of a target."""
        component = self.processes[name].component
        if not isinstance(component, Agent):
            raise TypeError(f"{name} is not an agent")
        return component

    def entry(self, name: str) -> Entry:
        """Return a running entry."""
        component = self.processes[name].component
        if not isinstance(component, Entry):
            raise TypeError(f"{name} is not an entry")
        return component

    def text_versions(self) -> dict[str, int]:
        """Return the active text version of each running process."""
        return {
            name: process.component.text.current().number
            for name, process in self.processes.items()
        }

    async def _run_entry(
        self, instance: Instance, channel: object, rng: random.Random
    ) -> None:
        settings = EntrySettings(**self._shared_settings(instance))
        async with anyio.create_task_group() as tasks:
            entry = Entry(settings, channel, self.clock, rng)
            self._register_process(instance, entry, entry.app, tasks.cancel_scope)
            entry.start(tasks)
            await anyio.sleep_forever()

    async def _run_agent(
        self, instance: Instance, channel: object, rng: random.Random
    ) -> None:
        settings = AgentSettings(
            service=instance.service,
            target=f"target-{instance.name}",
            **self._shared_settings(instance),
        )
        async with anyio.create_task_group() as tasks:
            agent = Agent(settings, channel, self.clock, tasks, rng)
            self._register_process(instance, agent, agent.app, tasks.cancel_scope)
            agent.start()
            await anyio.sleep_forever()

    def _register_process(
        self,
        instance: Instance,
        component: Entry | Agent,
        app: object,
        scope: anyio.CancelScope,
    ) -> None:
        self.network.listen(instance.address, instance.data_centre, app)
        self.processes[instance.name] = RunningProcess(instance, component, scope)

    def _shared_settings(self, instance: Instance) -> dict[str, object]:
        return {
            "name": instance.name,
            "data_centre": instance.data_centre,
            "listen": instance.address,
            "platform_addresses": (PLATFORM_ADDRESS,),
            "platform_timeout": 2.0,
            "spread": self._replication_options(instance),
            "drain_notice": DRAIN_NOTICE,
            "drain_timeout": DRAIN_TIMEOUT,
        }

    def _replication_options(self, instance: Instance) -> ReplicationOptions:
        seeds = [
            row.address for row in self.instances.values() if row.name != instance.name
        ]
        return ReplicationOptions(
            instance.name, instance.data_centre, tuple(seeds), 4.0, 2.0
        )

    def _add(self, instance: Instance) -> Instance:
        self.instances[instance.name] = instance
        self.platform.state.put_instances([instance])
        self.start(instance.name)
        return instance

    async def _wait_for_calls(self, address: str) -> None:
        """Wait for calls in flight, as the HTTP server does on shutdown."""
        node = self.network.nodes[address]
        with anyio.move_on_after(DRAIN_TIMEOUT):
            while node.calls:
                await anyio.sleep(0.05)

    def _next_address(self) -> str:
        self.host_count += 1
        return f"10.0.{self.host_count // 250 + 1}.{self.host_count % 250 + 1}:80"
