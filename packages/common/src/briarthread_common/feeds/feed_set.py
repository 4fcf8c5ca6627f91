"""The three feeds of a process."""

from enum import StrEnum

from briarthread_common.feeds.feed import Feed


class FeedName(StrEnum):
    """Name the feeds that every process keeps."""

    TEXT = "text"
    INSTANCES = "instances"
    SHARES = "shares"


class FeedSet:
    """Hold one feed of each name."""

    def __init__(self) -> None:
        self.text = Feed(FeedName.TEXT)
        self.instances = Feed(FeedName.INSTANCES)
        self.shares = Feed(FeedName.SHARES)

    def all(self) -> tuple[Feed, ...]:
        """Return the feeds in a fixed order."""
        return (self.text, self.instances, self.shares)

    def by_name(self, name: str) -> Feed | None:
        """Return the feed of a name, or ``None`` for one not known here."""
        return next((feed for feed in self.all() if feed.name == name), None)

    def versions(self) -> dict[str, int]:
        """Return the version of each feed by its name."""
        return {feed.name: feed.number for feed in self.all()}
