"""A change of a feed from one version to a later one."""

from dataclasses import dataclass

SNAPSHOT_BASE = 0
"""The base of a patch that replaces everything."""


@dataclass(frozen=True, slots=True)
class FeedPatch:
    """
    Carry the items of a feed that changed between two versions.

    ``changes`` maps an item's name to its new text, or to ``None`` where the
    item was removed. A patch whose base is ``WHOLE`` holds all items.
    """

    feed: str
    base: int
    number: int
    changes: dict[str, str | None]
