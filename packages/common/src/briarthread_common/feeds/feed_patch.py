"""Change of a feed from one version to a newer one."""

from dataclasses import dataclass

from briarthread_common.core.decoding import WholeNumber

SNAPSHOT_BASE = 0
"""Base of a snapshot patch, which replaces all items."""


@dataclass(frozen=True, slots=True)
class FeedPatch:
    """
    Carry the items of a feed that changed between two versions.

    ``changes`` maps an item's name to its new text, or to ``None`` if the item was
    removed. A patch whose base is ``SNAPSHOT_BASE`` holds all items.
    """

    feed: str
    base: WholeNumber
    number: WholeNumber
    changes: dict[str, str | None]
