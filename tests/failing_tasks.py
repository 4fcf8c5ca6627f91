"""Builders of background tasks that fail."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import NoReturn

import anyio
from loguru import logger

ALWAYS = 10**9
"""Number of failures of a task whose cause lasts."""


class UnknownError(Exception):
    """An error that no caller knows."""


@dataclass
class FailingRun:
    """Fail the first ``failures`` times, then run a function; note all start times."""

    run: Callable[[], Awaitable[None]] = anyio.sleep_forever
    failures: int = ALWAYS
    starts: list[float] = field(default_factory=list)

    async def __call__(self) -> None:
        self.starts.append(anyio.current_time())
        if len(self.starts) <= self.failures:
            raise UnknownError("cause unknown")
        await self.run()


def fail(*arguments: object, **options: object) -> NoReturn:
    """Raise an unknown error, whatever the call."""
    raise UnknownError("cause unknown")


def make_fail(owner: object, name: str, failures: int = ALWAYS) -> FailingRun:
    """Make a task's function fail before the task is started."""
    failing = FailingRun(getattr(owner, name), failures)
    setattr(owner, name, failing)
    return failing


@contextmanager
def collecting_logs() -> Iterator[list[str]]:
    """Collect the text of the log's records, each prefixed with its level."""
    lines: list[str] = []
    handler_id = logger.add(lines.append, format="{level} {message}")
    try:
        yield lines
    finally:
        logger.remove(handler_id)
