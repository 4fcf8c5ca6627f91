"""Where the feeds of a process come from."""

from typing import Protocol

from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_common.feeds.feed_set import FeedSet


class FeedSource(Protocol):
    """Read feeds from the platform; every call may raise PlatformError."""

    async def poll(self, feeds: FeedSet) -> list[FeedPatch]:
        """Return a patch for each feed of which the platform has more."""
        ...


class LongPollSource(FeedSource, Protocol):
    """
    A source that holds a call open until there is something new.

    ``long_poll`` returns what changed after a version, and the version up to
    which nothing else did. It raises HistoryGoneError when the source no
    longer has what lies in between; ``read_snapshot`` then gives all of it.
    """

    async def read_snapshot(self, feed: str) -> FeedPatch:
        """Return all items of a feed as of one moment."""
        ...

    async def long_poll(self, feed: str, after: int, wait: float) -> FeedPatch:
        """Wait up to ``wait`` seconds for changes and return them."""
        ...
