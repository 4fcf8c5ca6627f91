"""Whom an entry follows to know what others have running."""

from collections.abc import Mapping
from dataclasses import dataclass

from briarthread_common.messages.running_report import (
    BLOCK_PATH,
    OTHERS_PATH,
    RUNNING_PATH,
)
from briarthread_common.utils.hashing import stable_hash
from briarthread_entry.direct.report_blocks import MAX_MESH_ENTRIES, find_block


@dataclass(frozen=True, slots=True)
class EntrySubscription:
    """Another entry, for what it has running itself."""

    name: str


@dataclass(frozen=True, slots=True)
class BlockSubscription:
    """Another block, for the sum of its entries."""

    label: str


@dataclass(frozen=True, slots=True)
class OthersSubscription:
    """The collector of the own block, for the sum of all other entries."""

    label: str


Subscription = EntrySubscription | BlockSubscription | OthersSubscription


def wanted_subscriptions(
    name: str, blocks: Mapping[str, tuple[str, ...]], requested: bool
) -> set[Subscription]:
    """
    Return whom an entry follows.

    ``requested`` tells that others take it for their collector: one that cannot
    reach the first of its block turns to the next. One that is not listed yet
    asks the collector of any block.

    >>> blocks = {"x": ("a", "b", "c"), "y": tuple("defghijklm")}
    >>> wanted_subscriptions("b", blocks, requested=False)
    {OthersSubscription(label='x')}
    >>> len(wanted_subscriptions("a", blocks, requested=False))
    3
    >>> len(wanted_subscriptions("new", blocks, requested=False))
    1
    """
    own = find_block(name, blocks) or _any_block(name, blocks)
    if own is None:
        return set()
    block = blocks[own]
    members: set[Subscription] = {
        EntrySubscription(other) for other in block if other != name
    }
    if sum(len(others) for others in blocks.values()) <= MAX_MESH_ENTRIES:
        return members
    if name not in block or (block[0] != name and not requested):
        return {OthersSubscription(own)}
    return members | {BlockSubscription(label) for label in blocks if label != own}


def _any_block(name: str, blocks: Mapping[str, tuple[str, ...]]) -> str | None:
    labels = sorted(blocks)
    return labels[stable_hash("block", name) % len(labels)] if labels else None


def report_source(followed: Subscription) -> str:
    """Return the name under which the board keeps what was heard."""
    match followed:
        case EntrySubscription(name):
            return name
        case BlockSubscription(label):
            return f"block {label}"
        case OthersSubscription():
            return "others"


def report_path(followed: Subscription, own: str) -> str:
    """Return where the reports of one that is followed are asked for."""
    match followed:
        case EntrySubscription():
            return RUNNING_PATH
        case BlockSubscription():
            return BLOCK_PATH
        case OthersSubscription():
            return f"{OTHERS_PATH}/{own}"
