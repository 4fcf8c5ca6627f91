"""A world that lives on between the steps of a test."""

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
    Hold a world in a virtual loop that runs only while a step needs it.

    ``build`` brings the world up in a task group that ``close`` ends.
    """

    def __init__(self, build: Build) -> None:
        self.loop = VirtualLoop()
        self.world: World
        self.tasks: anyio.abc.TaskGroup
        ready = asyncio.Event()
        self.holder = self.loop.create_task(self._hold(build, ready))
        self.run(ready.wait())

    def call(self, function: Callable[..., object], *arguments: object) -> None:
        """Call a function inside the loop."""

        async def act() -> None:
            function(*arguments)
            await anyio.sleep(0)

        self.run(act())

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(anyio.sleep(seconds))

    def run(self, awaitable: Awaitable[T]) -> T:
        """Run the loop until an awaitable is done."""
        if self.holder.done():
            self.holder.result()
        return self.loop.run_until_complete(awaitable)

    def close(self) -> None:
        """End every task and the loop."""
        self.holder.cancel()
        self.loop.run_until_complete(
            asyncio.gather(self.holder, return_exceptions=True)
        )
        self.loop.close()

    async def _hold(self, build: Build, ready: asyncio.Event) -> None:
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.world = await build(tasks)
            ready.set()
            await anyio.sleep_forever()
