"""Registration of a process in the list of instances."""

from dataclasses import replace

import anyio
from loguru import logger

from briarthread_common.core.exceptions import PlatformError
from briarthread_common.direct.platform_adapter import PlatformStore
from briarthread_common.messages.instance import Instance
from briarthread_common.spread.directory import Directory

REGISTER_RETRY_SECONDS = 1.0
"""Pause before a retry after the platform did not accept the instance, in seconds."""


async def ensure_registered(
    row: Instance, directory: Directory, store: PlatformStore
) -> None:
    """
    Register an instance, unless it is registered already; retry until accepted.

    A registered one may be settled.
    """
    while directory.all().get(row.name) not in (row, replace(row, settled=True)):
        try:
            await store.register_instance(row)
            logger.info("spread: {} registered in the list of instances", row.name)
            return
        except PlatformError as error:
            logger.warning("spread: {} could not be registered: {}", row.name, error)
        await anyio.sleep(REGISTER_RETRY_SECONDS)
