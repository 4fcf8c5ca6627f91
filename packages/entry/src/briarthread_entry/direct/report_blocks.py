"""Which other entries each entry follows."""

import math
from collections.abc import Collection

from briarthread_common.utils.hashing import stable_hash

LEAST_BLOCK = 12
"""Entries up to which everyone follows everyone: the users' small sites have
nine, and reports that take no detour are a tenth of a second fresher."""


def blocks_of(names: Collection[str]) -> dict[int, tuple[str, ...]]:
    """
    Return the entries in blocks, alike in every process that knows the same.

    Everyone follows the entries of its own block, and one of each other block
    for the sum of that, so that the calls an entry holds grow with the root of
    the number of entries. One that comes or goes moves no other, but where the
    number of blocks changes.

    >>> [len(block) for block in blocks_of([f"e{n}" for n in range(9)]).values()]
    [9]
    >>> blocks = blocks_of([f"e{n}" for n in range(490)])
    >>> len(blocks), max(len(block) for block in blocks.values())
    (22, 32)
    """
    size = max(LEAST_BLOCK, math.ceil(math.sqrt(len(names))))
    number = math.ceil(len(names) / size)
    blocks: dict[int, list[str]] = {}
    for name in sorted(names):
        blocks.setdefault(stable_hash("block", name) % number, []).append(name)
    return {index: tuple(blocks[index]) for index in sorted(blocks)}


def block_of(name: str, blocks: dict[int, tuple[str, ...]]) -> int | None:
    """Return the block of an entry, ``None`` for one that is not listed."""
    return next((index for index, block in blocks.items() if name in block), None)
