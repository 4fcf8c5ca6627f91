"""Registration of an entry in the list of instances."""

from collections.abc import Callable, Collection
from dataclasses import replace

import anyio
from loguru import logger

from briarthread_common.core.exceptions import PlatformError
from briarthread_common.direct.direct_service import DirectService
from briarthread_common.direct.platform_adapter import PlatformStore
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_common.spread.ensure_registered import ensure_registered
from briarthread_common.spread.long_poll_replicator import LongPollReplicator
from briarthread_entry.direct.limits.issuer_members import IssuerMembers
from briarthread_entry.direct.settings import DirectSettings

SETTLED_CHECK_SECONDS = 0.5
"""Interval in seconds at which an entry checks whether it has settled in the list."""


class EntryRegistration:
    """
    Keep an entry in the list of instances, and list it as settled once it is.

    ``services`` returns the configured services.
    """

    def __init__(
        self,
        settings: DirectSettings,
        replicator: LongPollReplicator,
        directory: Directory,
        store: PlatformStore,
        issuer_members: IssuerMembers,
        services: Callable[[], Collection[DirectService]],
    ) -> None:
        self.settings = settings
        self.replicator = replicator
        self.directory = directory
        self.store = store
        self.issuer_members = issuer_members
        self.services = services

    async def run(self) -> None:
        """Register the entry once it has started."""
        await self.replicator.started.wait()
        row = Instance(
            self.settings.name,
            self.settings.data_centre,
            self.settings.listen,
            InstanceRole.ENTRY,
        )
        await ensure_registered(row, self.directory, self.store)
        await self._list_as_settled(replace(row, settled=True))

    async def _list_as_settled(self, row: Instance) -> None:
        """
        List the entry as settled once it is, so that it issues tokens after a restart.

        Nothing is written unless a service bounds the requests to cold targets.
        """
        while True:
            await anyio.sleep(SETTLED_CHECK_SECONDS)
            now = anyio.current_time()
            if not (self.issuer_members.has_settled(now) and self._has_cold_rate()):
                continue
            try:
                await self.store.register_instance(row)
            except PlatformError as error:
                logger.warning("cold: not listed as settled: {}", error)

    def _has_cold_rate(self) -> bool:
        return any(service.cold_rate > 0 for service in self.services())
