"""Feeds read from the platform's table."""

from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_common.feeds.feed_set import FeedSet
from briarthread_common.platform.feed_store import FeedStore, head_version
from briarthread_common.platform.platform_client import PlatformClient


class TableSource:
    """Read text and shares from the table, instances from the platform's list."""

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform

    async def poll(self, feeds: FeedSet) -> list[FeedPatch]:
        """Return a patch for each feed of which the platform has a newer version."""
        patches = [await self.platform.instances_since(feeds.instances.number)]
        stores = {
            FeedStore(self.platform, feed.name): feed
            for feed in (feeds.text, feeds.shares)
        }
        heads = await self.platform.read([store.head_key() for store in stores])
        for store, feed in stores.items():
            newest = head_version(heads.get(store.head_key()))
            patches.append(await store.read_between(feed.number, newest))
        return [patch for patch in patches if patch is not None]
