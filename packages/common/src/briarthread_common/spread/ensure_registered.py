"""The entering of a process in the list of instances."""

import anyio
from loguru import logger

from briarthread_common.core.exceptions import PlatformError
from briarthread_common.direct.platform_adapter import PlatformStore
from briarthread_common.messages.instance import Instance
from briarthread_common.spread.directory import Directory

LIST_RETRY_SECONDS = 1.0
"""Pause before the next try where the platform did not take it."""


async def ensure_registered(
    row: Instance, directory: Directory, store: PlatformStore
) -> None:
    """Enter an instance in the list, unless it is there already."""
    while directory.all().get(row.name) != row:
        try:
            await store.register_instance(row)
            logger.info("spread: {} entered in the list of instances", row.name)
            return
        except PlatformError as error:
            logger.warning("spread: {} not in the list yet: {}", row.name, error)
        await anyio.sleep(LIST_RETRY_SECONDS)
