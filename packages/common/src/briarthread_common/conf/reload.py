"""Reading of the settings anew while a process runs."""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import anyio
from loguru import logger

from briarthread_common.core.exceptions import ChecksFailed

T = TypeVar("T")


async def reload_on_signal(
    path: Path, load: Callable[[Path], T], apply: Callable[[T], None]
) -> None:
    """Apply the settings anew at each SIGHUP; faults leave the old in force."""
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            try:
                settings = load(path)
            except ChecksFailed as error:
                logger.error("settings: kept, the file has faults: {}", error)
                continue
            apply(settings)
            logger.info("settings: read anew")
