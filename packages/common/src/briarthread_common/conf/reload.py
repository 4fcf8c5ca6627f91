"""Reloading of settings while a process runs."""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import anyio
from loguru import logger

from briarthread_common.conf.early_signals import EARLY_SIGNALS
from briarthread_common.core.exceptions import ChecksFailed
from briarthread_common.core.task_supervisor import TaskSupervisor

T = TypeVar("T")
RELOAD_TASK = "settings-reload"


async def reload_on_signal(
    path: Path,
    load: Callable[[Path], T],
    apply: Callable[[T], None],
    supervisor: TaskSupervisor,
) -> None:
    """
    Reload the settings on each SIGHUP; keep the old ones if the file has faults.

    An unexpected error is reported to ``supervisor`` for each signal. The task itself
    goes on, because without it a signal would end the process.
    """

    def reload() -> None:
        try:
            settings = load(path)
        except ChecksFailed as error:
            logger.error("settings: not reloaded, the file has faults: {}", error)
            return
        apply(settings)
        logger.info("settings: reloaded")

    def reload_reporting_errors() -> None:
        with supervisor.reporting_errors(RELOAD_TASK):
            reload()

    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        if EARLY_SIGNALS.received:
            EARLY_SIGNALS.received = False
            reload_reporting_errors()
        async for _ in signals:
            reload_reporting_errors()
