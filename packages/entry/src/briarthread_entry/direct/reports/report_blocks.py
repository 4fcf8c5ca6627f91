"""
Blocks of entries, which determine how running reports are exchanged.

They are for deployments of dozens to hundreds of entries. If every entry subscribed
to every other entry, or to one entry of each block, it would hold as many streams as
there are entries or blocks, and reading them took most of its processor time with 129
ranks. Beyond a few entries, each block therefore has a collector. It subscribes to the
entries of its block and to the sums of the other collectors, and sends each entry of
its block the sum of all others. Any other entry then reads one stream and serves one,
whatever the number of entries.
"""

import math
from collections.abc import Mapping

from briarthread_common.messages.instance import Instance
from briarthread_common.utils.hashing import rendezvous_order, stable_hash

MAX_MESH_ENTRIES = 12
"""Entries up to which every entry subscribes to every other: direct reports are a
quarter of a second fresher, and a dozen streams cost little."""
MAX_MEAN_BLOCK_SIZE = 24
"""Largest mean number of entries in a block of a data centre.

A collector reads about three lines a second from each entry of its block and sends
each entry four, which takes a few hundredths of a core.
"""


def build_blocks(entries: Mapping[str, Instance]) -> dict[str, tuple[str, ...]]:
    """
    Divide entries into blocks, identically in every process with the same entries.

    The first entry of a block is its collector, the next one its replacement. A block
    lies within one data centre, so that the counts continue in one that is cut off. Up
    to ``MAX_MESH_ENTRIES`` entries form one block without a collector.

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
        block_count = math.ceil(len(names) / MAX_MEAN_BLOCK_SIZE)
        for name in names:
            label = f"{centre}/{stable_hash('block', name) % block_count}"
            blocks.setdefault(label, []).append(name)
    return {
        label: tuple(rendezvous_order("collector", blocks[label]))
        for label in sorted(blocks)
    }


def find_block(name: str, blocks: Mapping[str, tuple[str, ...]]) -> str | None:
    """Return the block of an entry, ``None`` for one that is not listed."""
    return next((label for label, block in blocks.items() if name in block), None)
