"""Blocklist in the platform's store, for entries that all restart."""

from collections.abc import Callable
from dataclasses import replace

import anyio
from loguru import logger

from briarthread_common.core.exceptions import DecodeError, PlatformError
from briarthread_common.direct.platform_adapter import PlatformStore
from briarthread_common.direct.stored_record import StoredRecord
from briarthread_common.messages.blocklist_entry import (
    BlocklistEntry,
    decode_blocklist,
    encode_blocklist,
)

RECORD = "blocklist"
"""Name of the record that holds the blocklist."""
STORED_SECONDS = 600.0
"""Time in seconds after which a stored entry is ignored."""
MAX_STORED_BYTES = 32_768
"""Maximum size of the record; the oldest entries are removed first."""
RETRY_SECONDS = 1.0
"""Pause before a call that failed is repeated, in seconds."""
CHECK_SECONDS = 0.5
"""Interval in seconds at which an entry without a model service looks for one."""


class BlocklistStore:
    """
    Read the blocklist once and store what this process blocks or clears.

    Entries report to each other what they block, so the record is needed only if all of
    them restart. ``is_needed`` returns whether the configuration has a model service;
    nothing is read or written before. ``load`` is called with each stored entry.
    """

    def __init__(
        self,
        store: PlatformStore,
        is_needed: Callable[[], bool],
        load: Callable[[BlocklistEntry], None],
    ) -> None:
        self.store = store
        self.is_needed = is_needed
        self.load = load
        self.added: list[BlocklistEntry] = []
        self.removed: list[BlocklistEntry] = []
        self.changed = anyio.Event()

    def add(self, digest: str = "", segments: tuple[str, ...] = ()) -> None:
        """Store that requests are blocked."""
        self.added.append(BlocklistEntry(0.0, digest, segments))
        self.changed.set()

    def remove(self, digest: str = "", segments: tuple[str, ...] = ()) -> None:
        """Remove what is stored of requests that are no longer blocked."""
        self.removed.append(BlocklistEntry(0.0, digest, segments))
        self.changed.set()

    async def run(self) -> None:
        """Load the stored entries, then store changes until cancelled."""
        while not self.is_needed():
            await anyio.sleep(CHECK_SECONDS)
        record = await self._read()
        for entry in _fresh_entries(record):
            self.load(entry)
        if self.added or self.removed:
            self.changed.set()
        while True:
            await self.changed.wait()
            self.changed = anyio.Event()
            await self._write_changes()

    async def _read(self) -> StoredRecord:
        while True:
            try:
                return await self.store.read_record(RECORD)
            except PlatformError as error:
                logger.warning("crashes: blocklist not read: {}", error)
            await anyio.sleep(RETRY_SECONDS)

    async def _write_changes(self) -> None:
        while True:
            record = await self._read()
            known = _fresh_entries(record)
            wanted = self._apply_changes(known, record.now)
            if wanted == known:
                break
            try:
                text = encode_blocklist(wanted)
                if await self.store.write_record(RECORD, text, record.version):
                    break
            except PlatformError as error:
                logger.warning("crashes: blocklist not stored: {}", error)
                await anyio.sleep(RETRY_SECONDS)
        self.added.clear()
        self.removed.clear()

    def _apply_changes(
        self, known: list[BlocklistEntry], now: float
    ) -> list[BlocklistEntry]:
        """Return the entries to store, the newest last."""
        entries = [e for e in known if not any(map(e.is_same, self.removed))]
        for added in self.added:
            if not any(map(added.is_same, entries)):
                entries.append(replace(added, at=now))
        while len(encode_blocklist(entries)) > MAX_STORED_BYTES:
            entries.pop(0)
        return entries


def _fresh_entries(record: StoredRecord) -> list[BlocklistEntry]:
    """Return the entries of a record that are not too old; log an invalid record."""
    if not record.text:
        return []
    try:
        entries = decode_blocklist(record.text)
    except DecodeError as error:
        logger.warning("crashes: stored blocklist ignored: {}", error)
        return []
    return [entry for entry in entries if record.now - entry.at < STORED_SECONDS]
