"""A feed moves only forward, whatever order its patches come in."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarthread_common.core.exceptions import FeedGapError
from briarthread_common.feeds.feed import Feed
from briarthread_common.feeds.feed_patch import FeedPatch

PATCHES = 12


def patches() -> list[FeedPatch]:
    return [
        FeedPatch("text", n, n + 1, {f"item-{n % 4}": str(n), f"gone-{n}": None})
        for n in range(PATCHES)
    ]


@settings(derandomize=True, database=None, deadline=None)
@given(
    order=st.lists(st.integers(0, PATCHES - 1), max_size=40),
    wholes=st.lists(st.integers(1, PATCHES), max_size=4),
    asked=st.integers(0, PATCHES),
)
def test_any_order_of_patches_leads_forward_only(
    order: list[int], wholes: list[int], asked: int
) -> None:
    feed, source = Feed("text"), Feed("text")
    for patch in patches():
        source.install(patch)
    seen = [0]
    arriving = [patches()[place] for place in order]
    for place, number in enumerate(wholes):
        whole = FeedPatch("text", 0, number, {f"item-{number}": "whole"})
        arriving.insert(place * len(order) // len(wholes), whole)
    for patch in arriving:
        try:
            feed.install(patch)
        except FeedGapError:
            assert patch.base > feed.number
        seen.append(feed.number)
    assert seen == sorted(seen)
    patch = source.since(asked)
    if patch is not None and patch.base <= feed.number and not wholes:
        feed.install(patch)
        assert feed.items == source.items


def test_reader_far_behind_gets_the_whole() -> None:
    feed = Feed("text")
    for n in range(1, 400):
        feed.install(FeedPatch("text", n - 1, n, {"item": str(n)}))
    patch = feed.since(3)
    assert patch.base == 0
    assert patch.changes == {"item": "399"}


def test_patch_above_the_present_version_is_refused() -> None:
    with pytest.raises(FeedGapError):
        Feed("text").install(FeedPatch("text", 3, 4, {}))
