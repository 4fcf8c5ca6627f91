"""The feeds of a process."""

from collections.abc import Sequence
from enum import StrEnum

from briarthread_common.feeds.feed import Feed


class FeedName(StrEnum):
    """Names of the feeds that processes exchange."""

    TEXT = "text"
    INSTANCES = "instances"
    SHARES = "shares"
    ROUTES = "routes"
    TARGETS = "targets"


AGENT_FEEDS = (FeedName.TEXT, FeedName.INSTANCES, FeedName.SHARES)
"""Feeds of a process in a deployment with an agent in front of each target."""
DIRECT_FEEDS = (FeedName.ROUTES, FeedName.TARGETS, FeedName.INSTANCES)
"""Feeds of a process in a deployment whose entries call targets directly."""


class FeedSet:
    """
    Hold one feed for each of the given names.

    >>> FeedSet(DIRECT_FEEDS).versions()
    {'routes': 0, 'targets': 0, 'instances': 0}
    """

    def __init__(self, names: Sequence[FeedName] = AGENT_FEEDS) -> None:
        self.feeds: dict[str, Feed] = {name.value: Feed(name.value) for name in names}

    @property
    def text(self) -> Feed:
        """Return the feed of the services text."""
        return self.feeds[FeedName.TEXT]

    @property
    def instances(self) -> Feed:
        """Return the feed of the instances."""
        return self.feeds[FeedName.INSTANCES]

    @property
    def shares(self) -> Feed:
        """Return the feed of the shares of idempotency keys."""
        return self.feeds[FeedName.SHARES]

    @property
    def routes(self) -> Feed:
        """Return the feed of the routes to direct targets."""
        return self.feeds[FeedName.ROUTES]

    @property
    def targets(self) -> Feed:
        """Return the feed of the direct targets."""
        return self.feeds[FeedName.TARGETS]

    def all(self) -> tuple[Feed, ...]:
        """Return the feeds in a fixed order."""
        return tuple(self.feeds.values())

    def by_name(self, name: str) -> Feed | None:
        """Return the feed of a name, or ``None`` if this process does not have it."""
        return self.feeds.get(name)

    def versions(self) -> dict[str, int]:
        """Return the version of each feed by its name."""
        return {feed.name: feed.number for feed in self.all()}
