"""Configuration in force in a process."""

from loguru import logger

from briarthread_common.core.exceptions import DecodeError
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.direct.route_map import RouteMap
from briarthread_common.feeds.feed import Feed


class RouteView:
    """
    Return the typed configuration of a feed, decoded once per version.

    The last valid configuration stays in force if a new one cannot be decoded or has
    a lower version. A version is left ``is_incomplete`` by an unexpected error; only
    ``follow`` decodes it again, so that requests go on with the configuration in force.
    """

    def __init__(self, feed: Feed, adapter: PlatformAdapter) -> None:
        self.feed = feed
        self.adapter = adapter
        self.feed_version = 0
        self.is_incomplete = False
        self.routes: RouteMap | None = None

    async def follow(self) -> None:
        """Decode each version on arrival, so that no request has to wait for it."""
        while True:
            number = self.feed.number
            if self.is_incomplete:
                self.feed_version = 0
            self.current()
            await self.feed.wait_for_newer(number)

    def current(self) -> RouteMap | None:
        """Return the configuration in force, ``None`` before the first one."""
        if self.feed_version != self.feed.number:
            self.feed_version = self.feed.number
            self.is_incomplete = True
            self._decode()
            self.is_incomplete = False
        return self.routes

    def _decode(self) -> None:
        try:
            found = self.adapter.decode_routes(self.feed.items)
        except DecodeError as error:
            logger.error(
                "routes: version {} stays in force: {}", self._version(), error
            )
            return
        if found is None:
            self._log_missing()
            return
        if found.version < self._version():
            reason = f"{found.version} is older"
            logger.warning(
                "routes: version {} stays in force: {}", self._version(), reason
            )
            return
        if found.version > self._version():
            logger.info("routes: version {} is in force", found.version)
        self.routes = found

    def _log_missing(self) -> None:
        """Log that the platform lists no configuration."""
        if self.routes is None:
            logger.info("routes: no configuration is listed yet")
        else:
            logger.warning(
                "routes: version {} stays in force: none is listed", self._version()
            )

    def _version(self) -> int:
        return self.routes.version if self.routes else 0
