"""Typed view of the shares feed."""

import msgspec

from briarthread_common.feeds.feed import Feed
from briarthread_common.shares.share_row import ShareRow, share_name


class ShareView:
    """Return the rows of the shares feed as typed rows, each decoded once."""

    def __init__(self, feed: Feed) -> None:
        self.feed = feed
        self.decoded: dict[str, tuple[str, ShareRow]] = {}

    def get(self, service: str, data_centre: str, share: int) -> ShareRow | None:
        """Return the row of a share, or ``None`` if no agent ever held it."""
        name = share_name(service, data_centre, share)
        raw = self.feed.items.get(name)
        if raw is None:
            return None
        cached = self.decoded.get(name)
        if cached is None or cached[0] != raw:
            cached = (raw, msgspec.json.decode(raw, type=ShareRow))
            self.decoded[name] = cached
        return cached[1]
