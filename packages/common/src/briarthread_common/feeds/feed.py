"""A versioned map that only moves forward."""

from collections import deque

import anyio

from briarthread_common.core.exceptions import FeedGapError
from briarthread_common.feeds.feed_patch import SNAPSHOT_BASE, FeedPatch

HISTORY = 256
"""How many single patches are kept for processes that lag behind."""


class Feed:
    """
    Hold the items of one feed at the highest version seen.

    A lower version is never installed over a higher one, wherever it comes
    from; that alone keeps an accepted text from reverting.

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
        self.history: deque[FeedPatch] = deque(maxlen=HISTORY)
        self.changed = anyio.Event()

    def install(self, patch: FeedPatch) -> bool:
        """
        Install a patch if it leads to a higher version; tell whether it did.

        Raise FeedGapError when the patch starts above the present version.
        """
        if patch.number <= self.number:
            return False
        if patch.base > self.number:
            raise FeedGapError(
                f"{self.name}: patch from {patch.base}, have {self.number}"
            )
        if patch.base == SNAPSHOT_BASE:
            self._replace(patch)
        else:
            self._apply(patch)
        self._wake()
        return True

    def since(self, number: int) -> FeedPatch | None:
        """
        Return one patch from a version to the present one.

        Return ``None`` for a reader that is up to date, and a whole patch
        for one that the kept history does not reach.
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
        """Return once the feed is at a higher version than the given one."""
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

    def _wake(self) -> None:
        event, self.changed = self.changed, anyio.Event()
        event.set()
