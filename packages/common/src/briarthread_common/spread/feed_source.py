"""Interfaces of the sources of feeds."""

from typing import Protocol

from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_common.feeds.feed_set import FeedSet


class FeedSource(Protocol):
    """Read feeds from the platform; every call may raise PlatformError."""

    async def poll(self, feeds: FeedSet) -> list[FeedPatch]:
        """Return a patch for each feed of which the platform has a newer version."""
        ...


class LongPollSource(FeedSource, Protocol):
    """
    A source that holds a call open until there is a change.

    ``long_poll`` returns the changes after a version, and the version up to which
    they are complete. It raises HistoryTruncatedError if the source no longer has the
    changes in between; ``read_snapshot`` then returns all items.
    """

    async def read_snapshot(self, feed: str) -> FeedPatch:
        """Return all items of a feed as of one point in time."""
        ...

    async def long_poll(self, feed: str, after: int, wait: float) -> FeedPatch:
        """Wait up to ``wait`` seconds for changes and return them."""
        ...
