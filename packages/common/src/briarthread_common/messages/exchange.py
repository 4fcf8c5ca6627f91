"""What two processes tell each other of their feeds."""

from dataclasses import dataclass, field

from briarthread_common.feeds.feed_patch import FeedPatch


@dataclass(frozen=True, slots=True)
class Exchange:
    """
    Carry the versions of a process's feeds, and patches for the other side.

    The asker sends its versions; the answer holds the versions of the other
    side and a patch for each feed in which the asker lags. ``source_age`` is
    how many seconds ago the sender last heard from the platform, ``source_well``
    for how long the platform has answered it without a failure, 0 if it does not.
    """

    versions: dict[str, int]
    patches: list[FeedPatch] = field(default_factory=list)
    source_age: float = 0.0
    source_well: float = 0.0
