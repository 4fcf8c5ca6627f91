"""What the fuzzing machines share: a world between their steps."""

from collections.abc import Callable

import anyio
from hypothesis.stateful import RuleBasedStateMachine
from live_world import LiveWorld

from briarthread_standins.world import World

SETTLE_SECONDS = 30.0

counts: dict[str, int] = {}
"""Steps and faults of all runs of this process, for the long command."""


def count(what: str) -> None:
    """Count a step or a fault."""
    counts[what] = counts.get(what, 0) + 1


class WorldMachine(RuleBasedStateMachine):
    """
    Hold a world between the steps of a machine.

    Subclasses override ``build``, ``repair_all_faults`` and ``check_final_state``.
    """

    live: LiveWorld

    @property
    def world(self) -> World:
        """Return the world."""
        return self.live.world

    @property
    def tasks(self) -> anyio.abc.TaskGroup:
        """Return the task group of the world."""
        return self.live.tasks

    async def build(self, tasks: anyio.abc.TaskGroup) -> World:
        """Bring the world up and return it."""
        raise NotImplementedError

    def repair_all_faults(self) -> None:
        """Mend every fault."""
        raise NotImplementedError

    def check_final_state(self) -> None:
        """Check the world once it has settled."""
        raise NotImplementedError

    def teardown(self) -> None:
        """Mend everything, let it settle, check the end."""
        try:
            count("runs of the machine")
            self.call(self.repair_all_faults)
            self.advance(SETTLE_SECONDS)
            self.check_final_state()
        finally:
            self.live.close()

    def call(self, function: Callable[..., object], *arguments: object) -> None:
        """Call a function inside the loop."""
        self.live.do(function, *arguments)

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.live.let_pass(seconds)

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
