"""Message in which two processes exchange feed versions and patches."""

from dataclasses import dataclass, field

from briarthread_common.core.decoding import WholeNumber
from briarthread_common.feeds.feed_patch import FeedPatch


@dataclass(frozen=True, slots=True)
class Exchange:
    """
    Versions of a process's feeds, and patches for its peer.

    The request holds the sender's versions; the answer holds the peer's versions
    and a patch for each feed in which the sender is behind. ``source_age`` is how
    many seconds ago the platform last answered the sender, ``source_well`` for how
    many seconds it has answered without a failure, 0 if it does not answer.
    """

    versions: dict[str, WholeNumber]
    patches: list[FeedPatch] = field(default_factory=list)
    source_age: float = 0.0
    source_well: float = 0.0
