"""Whom an entry follows to know what others have running."""

from collections.abc import Mapping
from dataclasses import dataclass

from briarthread_common.messages.running_report import (
    BLOCK_PATH,
    OTHERS_PATH,
    RUNNING_PATH,
)
from briarthread_common.utils.hashing import stable_hash
from briarthread_entry.direct.report_blocks import MESH, block_of


@dataclass(frozen=True, slots=True)
class EntryFollowed:
    """Another entry, for what it has running itself."""

    name: str


@dataclass(frozen=True, slots=True)
class BlockFollowed:
    """Another block, for the sum of its entries."""

    label: str


@dataclass(frozen=True, slots=True)
class OthersFollowed:
    """The collector of the own block, for the sum of all other entries."""

    label: str


Followed = EntryFollowed | BlockFollowed | OthersFollowed


def whom_to_follow(
    name: str, blocks: Mapping[str, tuple[str, ...]], asked: bool
) -> set[Followed]:
    """
    Return whom an entry follows.

    ``asked`` tells that others take it for their collector: one that cannot
    reach the first of its block turns to the next. One that is not listed yet
    asks the collector of any block.

    >>> blocks = {"x": ("a", "b", "c"), "y": tuple("defghijklm")}
    >>> whom_to_follow("b", blocks, asked=False)
    {OthersFollowed(label='x')}
    >>> len(whom_to_follow("a", blocks, asked=False))
    3
    >>> len(whom_to_follow("new", blocks, asked=False))
    1
    """
    own = block_of(name, blocks) or _any_block(name, blocks)
    if own is None:
        return set()
    block = blocks[own]
    members: set[Followed] = {EntryFollowed(other) for other in block if other != name}
    if sum(len(others) for others in blocks.values()) <= MESH:
        return members
    if name not in block or (block[0] != name and not asked):
        return {OthersFollowed(own)}
    return members | {BlockFollowed(label) for label in blocks if label != own}


def _any_block(name: str, blocks: Mapping[str, tuple[str, ...]]) -> str | None:
    labels = sorted(blocks)
    return labels[stable_hash("block", name) % len(labels)] if labels else None


def label_of(followed: Followed) -> str:
    """Return the name under which the board keeps what was heard."""
    match followed:
        case EntryFollowed(name):
            return name
        case BlockFollowed(label):
            return f"block {label}"
        case OthersFollowed():
            return "others"


def path_to(followed: Followed, own: str) -> str:
    """Return where the reports of one that is followed are asked for."""
    match followed:
        case EntryFollowed():
            return RUNNING_PATH
        case BlockFollowed():
            return BLOCK_PATH
        case OthersFollowed():
            return f"{OTHERS_PATH}/{own}"
