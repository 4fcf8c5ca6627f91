"""The log says why a configuration is in force, or none is."""

from collections.abc import Iterator

import pytest
from loguru import logger

from briarthread_common.direct.route_view import RouteView
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_platform.adapter import ADAPTER


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Collect what is logged, each line after its level."""
    found: list[str] = []
    number = logger.add(found.append, format="{level} {message}")
    yield found
    logger.remove(number)


def test_start_without_a_configuration_is_no_warning(lines: list[str]) -> None:
    feed = Feed("routes")
    feed.install(FeedPatch("routes", 0, 1, {}))
    assert RouteView(feed, ADAPTER).current() is None
    assert lines == ["INFO routes: no configuration is listed yet\n"]
