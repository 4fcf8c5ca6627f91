"""Execution of asynchronous code in virtual time."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

T = TypeVar("T")


class _VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return ready files at once; advance the clock when there are none."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: nothing is ready and no timer is set")
        self.now += max(timeout, 0.0)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An asyncio loop whose time advances only while all tasks wait."""

    def __init__(self) -> None:
        self.virtual_selector = _VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_selector.now


def run_virtual(function: Callable[..., Awaitable[T]], *arguments: Any) -> T:
    """
    Run an asynchronous function in virtual time and return its result.

    >>> async def nap() -> float:
    ...     await anyio.sleep(3600)
    ...     return anyio.current_time()
    >>> round(run_virtual(nap))
    3600
    """
    options = {"loop_factory": VirtualLoop}
    return anyio.run(function, *arguments, backend="asyncio", backend_options=options)
