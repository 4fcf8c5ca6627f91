"""Typed view of the shares feed."""

from loguru import logger

from briarthread_common.core.decoding import decode_row
from briarthread_common.core.exceptions import DecodeError
from briarthread_common.feeds.feed import Feed
from briarthread_common.shares.share_row import ShareRow, share_name


class ShareView:
    """Return the rows of the shares feed as typed rows, each decoded once."""

    def __init__(self, feed: Feed) -> None:
        self.feed = feed
        self.decoded: dict[str, tuple[str, ShareRow | None]] = {}

    def get(self, service: str, data_centre: str, share: int) -> ShareRow | None:
        """Return the row of a share, or ``None`` if no agent ever held it."""
        name = share_name(service, data_centre, share)
        raw = self.feed.items.get(name)
        if raw is None:
            return None
        cached = self.decoded.get(name)
        if cached is None or cached[0] != raw:
            known = None if cached is None else cached[1]
            cached = (raw, _decode(name, raw, known))
            self.decoded[name] = cached
        return cached[1]


def _decode(name: str, raw: str, known: ShareRow | None) -> ShareRow | None:
    """Return a row; if it cannot be read, the one that is known from before."""
    try:
        return decode_row(raw, ShareRow)
    except DecodeError as error:
        logger.error("shares: invalid row {} ignored: {}", name, error)
        return known
