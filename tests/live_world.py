"""A simulated world that persists between the steps of a test."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from briarthread_standins.virtual_time import VirtualLoop
from briarthread_standins.world import World

T = TypeVar("T")
Build = Callable[[anyio.abc.TaskGroup], Awaitable[World]]


class LiveWorld:
    """
    Run a world in a virtual loop that runs only during the steps of a test.

    ``build`` starts the world in a task group that ``close`` cancels.
    """

    def __init__(self, build: Build) -> None:
        self.loop = VirtualLoop()
        self.world: World
        self.tasks: anyio.abc.TaskGroup
        ready = asyncio.Event()
        self.world_task = self.loop.create_task(self._run_world(build, ready))
        self.run(ready.wait())

    def call(self, function: Callable[..., object], *arguments: object) -> None:
        """Call a synchronous function inside the loop."""

        async def call_function() -> None:
            function(*arguments)
            await anyio.sleep(0)

        self.run(call_function())

    def advance(self, seconds: float) -> None:
        """Advance virtual time."""
        self.run(anyio.sleep(seconds))

    def run(self, awaitable: Awaitable[T]) -> T:
        """Run the loop until an awaitable is done."""
        if self.world_task.done():
            self.world_task.result()
        return self.loop.run_until_complete(awaitable)

    def close(self) -> None:
        """Cancel all tasks and close the loop."""
        self.world_task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(self.world_task, return_exceptions=True)
        )
        self.loop.close()

    async def _run_world(self, build: Build, ready: asyncio.Event) -> None:
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.world = await build(tasks)
            ready.set()
            await anyio.sleep_forever()
