"""The configuration in force in one process."""

from loguru import logger

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.direct.route_map import RouteMap
from briarthread_common.feeds.feed import Feed


class RouteView:
    """
    Give the typed configuration of a feed, decoded once a version.

    One that cannot be decoded leaves the last good one in force, and so does
    one with a lower version than was in force before.
    """

    def __init__(self, feed: Feed, adapter: PlatformAdapter) -> None:
        self.feed = feed
        self.adapter = adapter
        self.number = 0
        self.routes: RouteMap | None = None

    async def follow(self) -> None:
        """Decode each version as it comes, so that no request waits for it."""
        while True:
            number = self.feed.number
            self.current()
            await self.feed.wait_for_newer(number)

    def current(self) -> RouteMap | None:
        """Return the newest configuration, ``None`` before the first."""
        if self.number != self.feed.number:
            self.number = self.feed.number
            self._decode()
        return self.routes

    def _decode(self) -> None:
        try:
            found = self.adapter.decode_routes(self.feed.items)
        except DecodeError as error:
            logger.error("routes: {} kept in force: {}", self._version(), error)
            return
        if found is None:
            self._note_none()
            return
        if found.version < self._version():
            reason = f"{found.version} is older"
            logger.warning("routes: {} kept in force: {}", self._version(), reason)
            return
        if found.version > self._version():
            logger.info("routes: version {} is in force", found.version)
        self.routes = found

    def _note_none(self) -> None:
        """Log that the platform lists no configuration."""
        if self.routes is None:
            logger.info("routes: no configuration is listed yet")
        else:
            logger.warning("routes: {} kept in force: none is listed", self._version())

    def _version(self) -> int:
        return self.routes.version if self.routes else 0
