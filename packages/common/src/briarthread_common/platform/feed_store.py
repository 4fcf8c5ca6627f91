"""How a feed lies in the platform's table."""

import msgspec

from briarthread_common.core.exceptions import ConflictError, PlatformError
from briarthread_common.feeds.feed_patch import WHOLE, FeedPatch
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.platform.table_messages import ABSENT, Row, RowCheck, RowWrite

SNAPSHOT_EVERY = 64
"""How many patches lie between two whole copies of the feed."""
MAX_PATCHES = 2 * SNAPSHOT_EVERY


class FeedStore:
    """
    Keep a feed as a head row, one row a patch and a whole copy now and then.

    Storing the whole at each change would make every change as dear as the
    text is long; a patch is as long as what changed. The head's
    compare-and-set makes one order of all changes.
    """

    def __init__(self, platform: PlatformClient, feed: str) -> None:
        self.platform = platform
        self.feed = feed

    def head_key(self) -> str:
        """Return the key of the head row, whose value is the version."""
        return f"feeds/{self.feed}/head"

    def patch_key(self, number: int) -> str:
        """Return the key of the patch that leads to a version."""
        return f"feeds/{self.feed}/patches/{number}"

    def whole_key(self) -> str:
        """Return the key of the newest whole copy."""
        return f"feeds/{self.feed}/whole"

    async def read_since(self, number: int) -> FeedPatch | None:
        """Return one patch from a version to the newest, ``None`` if none."""
        head = await self._read_one(self.head_key())
        newest = int(head.value) if head else 0
        if newest <= number:
            return None
        if number != WHOLE and newest - number <= MAX_PATCHES:
            patch = await self._read_patches(number, newest)
            if patch is not None:
                return patch
        return await self._read_whole(newest)

    async def read_patch(self, number: int) -> FeedPatch | None:
        """Return the patch that leads to one version, ``None`` if it is gone."""
        row = await self._read_one(self.patch_key(number))
        return _decode(row) if row else None

    async def append(
        self, base: int, changes: dict[str, str | None], whole: dict[str, str]
    ) -> FeedPatch:
        """
        Add the patch after version ``base``; return it.

        ``whole`` is the feed as the patch leaves it. Raise ConflictError when
        the head is no longer at ``base``.
        """
        head = await self._read_one(self.head_key())
        if (int(head.value) if head else 0) != base:
            raise ConflictError(f"{self.feed} is at {head.value if head else 0}")
        patch = FeedPatch(self.feed, base, base + 1, changes)
        writes = [
            RowWrite(self.head_key(), str(patch.number)),
            RowWrite(self.patch_key(patch.number), _encode(patch)),
        ]
        if base % SNAPSHOT_EVERY == 0:
            copy = FeedPatch(self.feed, WHOLE, patch.number, dict(whole))
            writes.append(RowWrite(self.whole_key(), _encode(copy)))
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

    async def _read_whole(self, newest: int) -> FeedPatch:
        row = await self._read_one(self.whole_key())
        if row is None:
            raise PlatformError(f"{self.feed} has no whole copy")
        copy = _decode(row)
        if copy.number >= newest:
            return copy
        rest = await self._read_patches(copy.number, newest)
        if rest is None:
            raise PlatformError(f"{self.feed} lacks a patch after {copy.number}")
        items = {**copy.changes, **rest.changes}
        items = {name: text for name, text in items.items() if text is not None}
        return FeedPatch(self.feed, WHOLE, rest.number, items)

    async def _read_one(self, key: str) -> Row | None:
        return (await self.platform.read([key])).get(key)


def _encode(patch: FeedPatch) -> str:
    return msgspec.json.encode(patch).decode()


def _decode(row: Row) -> FeedPatch:
    return msgspec.json.decode(row.value, type=FeedPatch)
