"""Event loop of the entry and the agent."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

T = TypeVar("T")


def run_loop(function: Callable[..., Awaitable[T]], *arguments: Any) -> T:
    """
    Run an asynchronous function on uvloop and return its result.

    An entry needs a fifth less CPU time on uvloop than on the standard library's
    loop. Tests use a loop with virtual time, which uvloop doesn't support.

    >>> async def double(number: int) -> int:
    ...     return 2 * number
    >>> run_loop(double, 3)
    6
    """
    return anyio.run(function, *arguments, backend_options={"use_uvloop": True})
