"""Compare-and-set writes of share rows."""

from dataclasses import replace

import msgspec

from briarthread_common.core.exceptions import ConflictError, PlatformError
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.feed_set import FeedName
from briarthread_common.platform.feed_store import FeedStore
from briarthread_common.platform.platform_client import PlatformClient
from briarthread_common.shares.share_row import ShareRow, share_name
from briarthread_common.spread.feed_replicator import FeedReplicator


class ShareWriter:
    """Write rows only if no version newer than the one known here exists."""

    def __init__(
        self, feed: Feed, platform: PlatformClient, replicator: FeedReplicator
    ) -> None:
        self.feed = feed
        self.replicator = replicator
        self.store = FeedStore(platform, FeedName.SHARES)

    async def write(self, rows: list[ShareRow]) -> None:
        """
        Write rows under the next version and install them in the local feed.

        Raise ConflictError if another process wrote first, and PlatformError if
        the result of the write cannot be determined.
        """
        base = self.feed.number
        changes: dict[str, str | None] = {}
        for row in rows:
            versioned = replace(row, version=base + 1)
            name = share_name(row.service, row.data_centre, row.share)
            changes[name] = msgspec.json.encode(versioned).decode()
        snapshot = {**self.feed.items, **changes}
        try:
            patch = await self.store.append(base, changes, snapshot)
        except (ConflictError, PlatformError):
            await self._verify_write(changes)
            return
        self.feed.install(patch)

    async def _verify_write(self, changes: dict[str, str | None]) -> None:
        """Read the rows back after a failed write; raise if it was not applied."""
        await self.replicator.poll_platform()
        if any(self.feed.items.get(name) != raw for name, raw in changes.items()):
            raise ConflictError("shares were changed by another process")
