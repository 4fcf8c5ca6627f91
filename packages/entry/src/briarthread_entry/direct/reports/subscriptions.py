"""Subscriptions of an entry to the running reports of others."""

from collections.abc import Mapping
from dataclasses import dataclass

from briarthread_common.messages.running_report import (
    BLOCK_PATH,
    OTHERS_PATH,
    RUNNING_PATH,
)
from briarthread_common.utils.hashing import stable_hash
from briarthread_entry.direct.reports.report_blocks import MAX_MESH_ENTRIES, find_block


@dataclass(frozen=True, slots=True)
class EntrySubscription:
    """The report of another entry on itself."""

    name: str


@dataclass(frozen=True, slots=True)
class BlockSubscription:
    """The sum of the entries of another block."""

    label: str


@dataclass(frozen=True, slots=True)
class OthersSubscription:
    """The sum of all other entries, from the collector of the entry's own block."""

    label: str


Subscription = EntrySubscription | BlockSubscription | OthersSubscription


def wanted_subscriptions(
    name: str, blocks: Mapping[str, tuple[str, ...]], is_requested: bool
) -> set[Subscription]:
    """
    Return the subscriptions of an entry.

    ``is_requested`` is true if other entries use it as their collector: an entry that
    cannot reach the first of its block falls back to the next. An entry that is not
    listed yet uses the collector of any block.

    >>> blocks = {"x": ("a", "b", "c"), "y": tuple("defghijklm")}
    >>> wanted_subscriptions("b", blocks, is_requested=False)
    {OthersSubscription(label='x')}
    >>> len(wanted_subscriptions("a", blocks, is_requested=False))
    3
    >>> len(wanted_subscriptions("new", blocks, is_requested=False))
    1
    """
    own_label = find_block(name, blocks) or _any_block(name, blocks)
    if own_label is None:
        return set()
    block = blocks[own_label]
    members: set[Subscription] = {
        EntrySubscription(other) for other in block if other != name
    }
    if sum(len(others) for others in blocks.values()) <= MAX_MESH_ENTRIES:
        return members
    if name not in block or (block[0] != name and not is_requested):
        return {OthersSubscription(own_label)}
    return members | {
        BlockSubscription(label) for label in blocks if label != own_label
    }


def _any_block(name: str, blocks: Mapping[str, tuple[str, ...]]) -> str | None:
    labels = sorted(blocks)
    return labels[stable_hash("block", name) % len(labels)] if labels else None


def report_source(subscription: Subscription) -> str:
    """Return the name under which the reports of a subscription are stored."""
    match subscription:
        case EntrySubscription(name):
            return name
        case BlockSubscription(label):
            return f"block {label}"
        case OthersSubscription():
            return "others"


def report_path(subscription: Subscription, own_name: str) -> str:
    """Return the path from which the reports of a subscription are requested."""
    match subscription:
        case EntrySubscription():
            return RUNNING_PATH
        case BlockSubscription():
            return BLOCK_PATH
        case OthersSubscription():
            return f"{OTHERS_PATH}/{own_name}"
