"""A feed's version only increases, whatever the order of its patches."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarthread_common.core.exceptions import FeedGapError
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.feed_patch import FeedPatch

PATCH_COUNT = 12


def build_patches() -> list[FeedPatch]:
    return [
        FeedPatch("text", n, n + 1, {f"item-{n % 4}": str(n), f"gone-{n}": None})
        for n in range(PATCH_COUNT)
    ]


@settings(derandomize=True, database=None, deadline=None)
@given(
    order=st.lists(st.integers(0, PATCH_COUNT - 1), max_size=40),
    snapshots=st.lists(st.integers(1, PATCH_COUNT), max_size=4),
    reader_version=st.integers(0, PATCH_COUNT),
)
def test_version_never_decreases_in_any_order_of_patches(
    order: list[int], snapshots: list[int], reader_version: int
) -> None:
    feed, source = Feed("text"), Feed("text")
    for patch in build_patches():
        source.install(patch)
    versions = [0]
    received = [build_patches()[index] for index in order]
    for index, number in enumerate(snapshots):
        snapshot = FeedPatch("text", 0, number, {f"item-{number}": "whole"})
        received.insert(index * len(order) // len(snapshots), snapshot)
    for patch in received:
        try:
            feed.install(patch)
        except FeedGapError:
            assert patch.base > feed.number
        versions.append(feed.number)
    assert versions == sorted(versions)
    patch = source.since(reader_version)
    if patch is not None and patch.base <= feed.number and not snapshots:
        feed.install(patch)
        assert feed.items == source.items


def test_reader_behind_the_kept_history_gets_a_snapshot() -> None:
    feed = Feed("text")
    for n in range(1, 400):
        feed.install(FeedPatch("text", n - 1, n, {"item": str(n)}))
    patch = feed.since(3)
    assert patch.base == 0
    assert patch.changes == {"item": "399"}


def test_patch_above_the_present_version_is_refused() -> None:
    with pytest.raises(FeedGapError):
        Feed("text").install(FeedPatch("text", 3, 4, {}))
