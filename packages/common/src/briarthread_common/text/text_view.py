"""View of the services text that a process uses."""

from loguru import logger

from briarthread_common.core.exceptions import ChecksFailed
from briarthread_common.feeds.feed import Feed
from briarthread_common.text.build_text import build_text
from briarthread_common.text.services_text import ServicesText


class TextView:
    """
    Provide the typed text of a feed and rebuild it when the feed has changed.

    If a text cannot be built, for example because it was written for a newer
    release, the last valid one stays in use and ``fault`` describes the error.
    """

    def __init__(self, feed: Feed) -> None:
        self.feed = feed
        self.text = ServicesText()
        self.fault = ""
        self.attempted_number = 0

    def current(self) -> ServicesText:
        """Return the newest valid text."""
        if self.attempted_number != self.feed.number:
            self.attempted_number = self.feed.number
            self._build()
        return self.text

    def _build(self) -> None:
        try:
            self.text = build_text(self.feed.number, self.feed.items)
            self.fault = ""
        except ChecksFailed as error:
            self.fault = str(error)
            logger.error("text: version {} is invalid", self.feed.number)
