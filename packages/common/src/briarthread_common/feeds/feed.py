"""Versioned map whose version only increases."""

from collections import deque

import anyio

from briarthread_common.core.exceptions import FeedGapError
from briarthread_common.feeds.feed_patch import SNAPSHOT_BASE, FeedPatch

MAX_HISTORY_PATCHES = 256
"""Maximum number of patches kept for processes that lag behind."""


class Feed:
    """
    Hold the items of one feed at the newest version received.

    A lower version is never installed over a higher one, whatever its origin. This
    alone keeps an accepted text from being reverted.

    >>> feed = Feed("text")
    >>> feed.install(FeedPatch("text", 0, 4, {"a": "1"}))
    True
    >>> feed.install(FeedPatch("text", 0, 3, {"a": "0"}))
    False
    >>> feed.items
    {'a': '1'}
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.number = 0
        self.items: dict[str, str] = {}
        self.history: deque[FeedPatch] = deque(maxlen=MAX_HISTORY_PATCHES)
        self.changed = anyio.Event()

    def install(self, patch: FeedPatch) -> bool:
        """
        Install a patch if it leads to a newer version; tell whether it did.

        Raise FeedGapError if the patch starts above the present version.
        """
        if patch.number <= self.number:
            return False
        if patch.base > self.number:
            raise FeedGapError(
                f"{self.name}: patch starts at version {patch.base}, "
                f"present version is {self.number}"
            )
        if patch.base == SNAPSHOT_BASE:
            self._replace(patch)
        else:
            self._apply(patch)
        self._notify()
        return True

    def since(self, number: int) -> FeedPatch | None:
        """
        Return one patch from a version to the present one.

        Return ``None`` if the version is the present one, and a snapshot if it is
        older than the kept history.
        """
        if number >= self.number:
            return None
        if not self.history or number < self.history[0].base or number == SNAPSHOT_BASE:
            return FeedPatch(self.name, SNAPSHOT_BASE, self.number, dict(self.items))
        changes: dict[str, str | None] = {}
        for patch in self.history:
            if patch.number > number:
                changes.update(patch.changes)
        return FeedPatch(self.name, number, self.number, changes)

    async def wait_for_newer(self, number: int) -> None:
        """Return once the feed is at a newer version than the given one."""
        while self.number <= number:
            await self.changed.wait()

    def _replace(self, patch: FeedPatch) -> None:
        self.items = {
            name: text for name, text in patch.changes.items() if text is not None
        }
        self.number = patch.number
        self.history.clear()

    def _apply(self, patch: FeedPatch) -> None:
        items = dict(self.items)
        for name, text in patch.changes.items():
            if text is None:
                items.pop(name, None)
            else:
                items[name] = text
        self.history.append(
            FeedPatch(self.name, self.number, patch.number, patch.changes)
        )
        self.items = items
        self.number = patch.number

    def _notify(self) -> None:
        event, self.changed = self.changed, anyio.Event()
        event.set()
