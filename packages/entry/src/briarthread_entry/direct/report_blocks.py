"""
Which entries tell each other what they have running, and by way of whom.

It answers deployments of dozens to hundreds of entries. Where everyone follows
everyone, or one of each block, an entry holds as many streams as there are
entries or blocks, and reading ever more of them took most of its processor time
before 129 ranks. So beyond a few entries each block has a collector: it follows
the entries of its block and the sums of the other collectors, and tells each of
its own what all others have running. An entry then holds one stream and is
asked for one, however many entries there are.
"""

import math
from collections.abc import Mapping

from briarthread_common.messages.instance import Instance
from briarthread_common.utils.hashing import rendezvous_order, stable_hash

MAX_MESH_ENTRIES = 12
"""Entries up to which everyone follows everyone: reports that take no detour
are a quarter of a second fresher, and a dozen streams cost little."""
MAX_BLOCK_ENTRIES = 24
"""Entries of one block at most: its collector reads some three lines a second
from each and sends each four, which is a few hundredths of a core."""


def build_blocks(entries: Mapping[str, Instance]) -> dict[str, tuple[str, ...]]:
    """
    Return the entries in blocks, alike in every process that knows the same.

    The first of a block is its collector, the next takes its place. A block
    lies within one data centre, so that one that is cut off counts on. Up to
    ``MAX_MESH_ENTRIES`` entries make one block without a collector.

    >>> from briarthread_common.messages.instance import InstanceRole
    >>> def row(number):
    ...     centre = f"dc-{number % 8}"
    ...     return Instance(f"e{number}", centre, "", InstanceRole.ENTRY)
    >>> blocks = build_blocks({f"e{n}": row(n) for n in range(490)})
    >>> len(blocks), max(len(block) for block in blocks.values()) < 40
    (24, True)
    """
    if len(entries) <= MAX_MESH_ENTRIES:
        return {"all": tuple(sorted(entries))}
    centres: dict[str, list[str]] = {}
    for name, row in entries.items():
        centres.setdefault(row.data_centre, []).append(name)
    blocks: dict[str, list[str]] = {}
    for centre, names in centres.items():
        number = math.ceil(len(names) / MAX_BLOCK_ENTRIES)
        for name in names:
            label = f"{centre}/{stable_hash('block', name) % number}"
            blocks.setdefault(label, []).append(name)
    return {
        label: tuple(rendezvous_order("collector", blocks[label]))
        for label in sorted(blocks)
    }


def find_block(name: str, blocks: Mapping[str, tuple[str, ...]]) -> str | None:
    """Return the block of an entry, ``None`` for one that is not listed."""
    return next((label for label, block in blocks.items() if name in block), None)
