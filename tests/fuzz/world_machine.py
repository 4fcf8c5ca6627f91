"""Base class of the state machines that fuzz a simulated world."""

from collections.abc import Callable

import anyio
from hypothesis.stateful import RuleBasedStateMachine
from live_world import LiveWorld

from briarthread_standins.world import World

RECOVERY_SECONDS = 30.0

counts: dict[str, int] = {}
"""Steps and faults of all runs of this process, which run_long prints."""


def count(event: str) -> None:
    """Count a step or a fault."""
    counts[event] = counts.get(event, 0) + 1


class WorldMachine(RuleBasedStateMachine):
    """
    State machine that keeps a world between its steps.

    Subclasses override ``build``, ``repair_all_faults`` and ``check_final_state``.
    """

    live: LiveWorld

    @property
    def world(self) -> World:
        """Return the simulated world."""
        return self.live.world

    @property
    def tasks(self) -> anyio.abc.TaskGroup:
        """Return the task group of the world."""
        return self.live.tasks

    async def build(self, tasks: anyio.abc.TaskGroup) -> World:
        """Start the world and return it."""
        raise NotImplementedError

    def repair_all_faults(self) -> None:
        """Repair all faults."""
        raise NotImplementedError

    def check_final_state(self) -> None:
        """Check the world after it has recovered."""
        raise NotImplementedError

    def teardown(self) -> None:
        """Repair all faults, wait for recovery and check the final state."""
        try:
            count("runs of the machine")
            self.call(self.repair_all_faults)
            self.advance(RECOVERY_SECONDS)
            self.check_final_state()
        finally:
            self.live.close()

    def call(self, function: Callable[..., object], *arguments: object) -> None:
        """Call a function inside the event loop."""
        self.live.call(function, *arguments)

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.live.advance(seconds)

    def freeze(self, name: str, frozen: bool) -> None:
        """Freeze or unfreeze all messages of an instance."""
        self.world.network.freeze(self.world.instances[name].address, frozen)

    def start_missing(self) -> None:
        """Start all instances that are not running."""
        instances = self.world.instances
        missing = [name for name in instances if name not in self.world.processes]
        for name in missing:
            self.world.platform.state.put_instances([instances[name]])
            self.world.start(name)
