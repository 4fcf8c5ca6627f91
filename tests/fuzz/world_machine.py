"""What the fuzzing machines share: a world in a loop of its own."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from hypothesis.stateful import RuleBasedStateMachine

from briarthread_standins.virtual_time import VirtualLoop
from briarthread_standins.world import World

T = TypeVar("T")
SETTLE_SECONDS = 30.0

counts: dict[str, int] = {}
"""Steps and faults of all runs of this process, for the long command."""


def count(what: str) -> None:
    """Count a step or a fault."""
    counts[what] = counts.get(what, 0) + 1


class WorldMachine(RuleBasedStateMachine):
    """
    Hold a world between the steps of a machine.

    Subclasses override ``build``, ``repair_all`` and ``check_end``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.world: World
        self.tasks: anyio.abc.TaskGroup

    async def build(self, seed: int) -> None:
        """Bring the world up."""
        raise NotImplementedError

    def repair_all(self) -> None:
        """Mend every fault."""
        raise NotImplementedError

    def check_end(self) -> None:
        """Check the world once it has settled."""
        raise NotImplementedError

    def start_world(self, seed: int) -> None:
        """Start the loop and bring the world up."""
        ready = asyncio.Event()
        self.holder = self.loop.create_task(self._hold(seed, ready))
        self.run(ready.wait())

    def teardown(self) -> None:
        """Mend everything, let it settle, check the end."""
        try:
            count("runs of the machine")
            self.do(self.repair_all)
            self.let_pass(SETTLE_SECONDS)
            self.check_end()
        finally:
            self.holder.cancel()
            self.loop.run_until_complete(
                asyncio.gather(self.holder, return_exceptions=True)
            )
            self.loop.close()

    def do(self, function: Callable[..., object], *arguments: object) -> None:
        """Call a function inside the loop."""

        async def act() -> None:
            function(*arguments)
            await anyio.sleep(0)

        self.run(act())

    def let_pass(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(anyio.sleep(seconds))

    def run(self, awaitable: Awaitable[T]) -> T:
        """Run the loop until an awaitable is done."""
        if self.holder.done():
            self.holder.result()
        return self.loop.run_until_complete(awaitable)

    def freeze(self, name: str, frozen: bool) -> None:
        """Hold back, or let go, all messages of an instance."""
        self.world.network.freeze(self.world.instances[name].address, frozen)

    def start_missing(self) -> None:
        """Start every instance that does not run."""
        instances = self.world.instances
        missing = [name for name in instances if name not in self.world.members]
        for name in missing:
            self.world.platform.state.list_instances([instances[name]])
            self.world.start(name)

    async def _hold(self, seed: int, ready: asyncio.Event) -> None:
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            await self.build(seed)
            ready.set()
            await anyio.sleep_forever()
