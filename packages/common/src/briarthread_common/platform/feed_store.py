"""Storage of a feed in the platform's table."""

import msgspec

from briarthread_common.core.decoding import decode_row, read_whole_number
from briarthread_common.core.exceptions import (
    ConflictError,
    DecodeError,
    PlatformError,
)
from briarthread_common.feeds.feed_patch import SNAPSHOT_BASE, FeedPatch
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.platform.table_messages import ABSENT, Row, RowCheck, RowWrite

PATCHES_PER_SNAPSHOT = 64
"""Number of patches between two snapshots of a feed."""
MAX_PATCHES = 2 * PATCHES_PER_SNAPSHOT


class FeedStore:
    """
    Store a feed as a head row, one row per patch and periodic snapshots.

    If the complete feed was stored at each change, the cost of a change would grow
    with the size of the services text; a patch has the size of the change. The
    compare-and-set of the head row puts all changes into one order.
    """

    def __init__(self, platform: PlatformClient, feed: str) -> None:
        self.platform = platform
        self.feed = feed

    def head_key(self) -> str:
        """Return the key of the head row, whose value is the newest version."""
        return f"feeds/{self.feed}/head"

    def patch_key(self, number: int) -> str:
        """Return the key of the patch that results in a version."""
        return f"feeds/{self.feed}/patches/{number}"

    def snapshot_key(self) -> str:
        """Return the key of the newest snapshot."""
        return f"feeds/{self.feed}/whole"

    async def read_since(self, number: int) -> FeedPatch | None:
        """Return a patch from a version to the newest; ``None`` if none is newer."""
        head = await self._read_one(self.head_key())
        return await self.read_between(number, head_version(head))

    async def read_between(self, number: int, newest: int) -> FeedPatch | None:
        """Return a patch between two versions; ``None`` if there is no newer one."""
        if newest <= number:
            return None
        if number != SNAPSHOT_BASE and newest - number <= MAX_PATCHES:
            patch = await self._read_patches(number, newest)
            if patch is not None:
                return patch
        return await self._read_snapshot(newest)

    async def read_patch(self, number: int) -> FeedPatch | None:
        """Return the patch that results in a version; ``None`` if it was removed."""
        row = await self._read_one(self.patch_key(number))
        return _decode(row) if row else None

    async def append(
        self, base: int, changes: dict[str, str | None], items: dict[str, str]
    ) -> FeedPatch:
        """
        Append the patch that follows version ``base`` and return it.

        ``items`` is the feed's content after the patch. Raise ConflictError if
        the head is not at ``base``.
        """
        head = await self._read_one(self.head_key())
        if head_version(head) != base:
            raise ConflictError(f"{self.feed} is at {head_version(head)}")
        patch = FeedPatch(self.feed, base, base + 1, changes)
        writes = [
            RowWrite(self.head_key(), str(patch.number)),
            RowWrite(self.patch_key(patch.number), _encode(patch)),
        ]
        if base % PATCHES_PER_SNAPSHOT == 0:
            snapshot = FeedPatch(self.feed, SNAPSHOT_BASE, patch.number, dict(items))
            writes.append(RowWrite(self.snapshot_key(), _encode(snapshot)))
        if patch.number > MAX_PATCHES:
            writes.append(RowWrite(self.patch_key(patch.number - MAX_PATCHES), None))
        check = RowCheck(self.head_key(), head.version if head else ABSENT)
        await self.platform.write([check], writes)
        return patch

    async def _read_patches(self, number: int, newest: int) -> FeedPatch | None:
        keys = [self.patch_key(n) for n in range(number + 1, newest + 1)]
        rows = await self.platform.read(keys)
        changes: dict[str, str | None] = {}
        for key in keys:
            if key not in rows:
                return None
            changes.update(_decode(rows[key]).changes)
        return FeedPatch(self.feed, number, newest, changes)

    async def _read_snapshot(self, newest: int) -> FeedPatch:
        row = await self._read_one(self.snapshot_key())
        if row is None:
            raise PlatformError(f"{self.feed} has no snapshot")
        snapshot = _decode(row)
        if snapshot.number >= newest:
            return snapshot
        patch = await self._read_patches(snapshot.number, newest)
        if patch is None:
            raise PlatformError(f"{self.feed} lacks a patch after {snapshot.number}")
        items = {**snapshot.changes, **patch.changes}
        items = {name: text for name, text in items.items() if text is not None}
        return FeedPatch(self.feed, SNAPSHOT_BASE, patch.number, items)

    async def _read_one(self, key: str) -> Row | None:
        return (await self.platform.read([key])).get(key)


def head_version(head: Row | None) -> int:
    """Return the version in a head row, 0 if the row doesn't exist."""
    if head is None:
        return 0
    number = read_whole_number(head.value)
    if number is None:
        raise PlatformError(f"{head.key} holds no version: {head.value[:40]!r}")
    return number


def _encode(patch: FeedPatch) -> str:
    return msgspec.json.encode(patch).decode()


def _decode(row: Row) -> FeedPatch:
    try:
        return decode_row(row.value, FeedPatch)
    except DecodeError as error:
        raise PlatformError(f"{row.key} holds no patch: {error}") from error
