"""The text in force in one process."""

from loguru import logger

from briarthread_common.core.exceptions import ChecksFailed
from briarthread_common.feeds.feed import Feed
from briarthread_common.text.build_text import build_text
from briarthread_common.text.services_text import ServicesText


class TextView:
    """
    Give the typed text of a feed, built anew when the feed has moved.

    A text that cannot be built, as one from a newer release may be, leaves
    the last good one in force and is reported in ``fault``.
    """

    def __init__(self, feed: Feed) -> None:
        self.feed = feed
        self.text = ServicesText()
        self.fault = ""
        self.tried = 0

    def current(self) -> ServicesText:
        """Return the newest text that can be built."""
        if self.tried != self.feed.number:
            self.tried = self.feed.number
            self._build()
        return self.text

    def _build(self) -> None:
        try:
            self.text = build_text(self.feed.number, self.feed.items)
            self.fault = ""
        except ChecksFailed as error:
            self.fault = str(error)
            logger.error("text: version {} cannot be used", self.feed.number)
