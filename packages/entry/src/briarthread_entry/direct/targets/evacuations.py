"""Data centres whose targets get no requests at the operator's request."""

from collections.abc import Callable

from loguru import logger

from briarthread_common.core.metrics import Metrics
from briarthread_common.direct.platform_adapter import PlatformAdapter
from briarthread_common.feeds.feed import Feed


class Evacuations:
    """
    Hold the data centres that the operator has evacuated.

    They are read from the feed of the configuration, whether or not the configuration
    in it is valid. ``on_ended`` is called with the data centres whose evacuation was
    taken back, before any of their targets is used again. A version is left
    ``is_incomplete`` by an unexpected error; only ``follow`` applies it again.
    """

    def __init__(self, feed: Feed, adapter: PlatformAdapter, metrics: Metrics) -> None:
        self.feed = feed
        self.adapter = adapter
        self.metrics = metrics
        self.applied_number = -1
        self.is_incomplete = False
        self.data_centres: frozenset[str] = frozenset()
        self.on_ended: Callable[[frozenset[str]], None] = _do_nothing

    async def follow(self) -> None:
        """Apply each version of the feed on arrival, not only when it is needed."""
        while True:
            number = self.feed.number
            if self.is_incomplete:
                self.applied_number = -1
            self.refresh()
            await self.feed.wait_for_newer(number)

    def refresh(self) -> None:
        """Apply the current version of the feed."""
        if self.applied_number != self.feed.number:
            self.applied_number = self.feed.number
            self.is_incomplete = True
            self._apply(self.adapter.decode_evacuated(self.feed.items))
            self.is_incomplete = False

    def names(self) -> list[str]:
        """Return the sorted names of the evacuated data centres."""
        return sorted(self.data_centres)

    def _apply(self, data_centres: frozenset[str]) -> None:
        started = data_centres - self.data_centres
        ended = self.data_centres - data_centres
        if ended:
            self.on_ended(ended)
        self.data_centres = data_centres
        self.metrics.evacuated_data_centres.set(len(data_centres))
        for name in sorted(started):
            self.metrics.evacuation_changes.labels("started").inc()
            logger.warning("evacuations: no new requests are sent to {}", name)
        for name in sorted(ended):
            self.metrics.evacuation_changes.labels("ended").inc()
            logger.info("evacuations: {} gets requests again", name)


def _do_nothing(data_centres: frozenset[str]) -> None:
    """Ignore the end of evacuations."""
