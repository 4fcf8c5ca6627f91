"""Tests for the log lines on the configuration in use."""

from collections.abc import Iterator

import pytest
from loguru import logger

from briarthread_common.direct.route_view import RouteView
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.feed_patch import FeedPatch
from briarthread_platform.adapter import ADAPTER


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Collect the log lines, each prefixed with its level."""
    collected: list[str] = []
    handler_id = logger.add(collected.append, format="{level} {message}")
    yield collected
    logger.remove(handler_id)


def test_missing_configuration_at_start_logs_no_warning(lines: list[str]) -> None:
    feed = Feed("routes")
    feed.install(FeedPatch("routes", 0, 1, {}))
    assert RouteView(feed, ADAPTER).current() is None
    assert lines == ["INFO routes: no configuration is listed yet\n"]
