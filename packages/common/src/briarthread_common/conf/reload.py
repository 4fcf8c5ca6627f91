"""Reloading of settings while a process runs."""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import anyio
from loguru import logger

from briarthread_common.conf.early_signals import EARLY_SIGNALS
from briarthread_common.core.exceptions import ChecksFailed

T = TypeVar("T")


async def reload_on_signal(
    path: Path, load: Callable[[Path], T], apply: Callable[[T], None]
) -> None:
    """Reload the settings on each SIGHUP; keep the old ones if the file has faults."""

    def reload() -> None:
        try:
            settings = load(path)
        except ChecksFailed as error:
            logger.error("settings: not reloaded, the file has faults: {}", error)
            return
        apply(settings)
        logger.info("settings: reloaded")

    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        if EARLY_SIGNALS.received:
            EARLY_SIGNALS.received = False
            reload()
        async for _ in signals:
            reload()
