"""Which other entries each entry follows."""

import math
from collections.abc import Iterable

LEAST_BLOCK = 12
"""Entries up to which everyone follows everyone: the users' small sites have
nine, and reports that take no detour are a tenth of a second fresher."""


def blocks_of(names: Iterable[str]) -> list[tuple[str, ...]]:
    """
    Return the entries in blocks, alike in every process that knows the same.

    Everyone follows the entries of its own block, and one of each other block
    for the sum of that, so that the calls an entry holds grow with the root of
    the number of entries.

    >>> [len(block) for block in blocks_of(f"e{n}" for n in range(9))]
    [9]
    >>> [len(block) for block in blocks_of(f"e{n:02}" for n in range(45))]
    [12, 11, 11, 11]
    >>> blocks = blocks_of(f"e{n:03}" for n in range(490))
    >>> len(blocks), max(len(block) for block in blocks)
    (22, 23)
    """
    ordered = sorted(names)
    size = max(LEAST_BLOCK, math.ceil(math.sqrt(len(ordered))))
    number = math.ceil(len(ordered) / size)
    return [tuple(ordered[index::number]) for index in range(number)]


def block_of(name: str, blocks: list[tuple[str, ...]]) -> tuple[str, ...]:
    """Return the block of an entry; one that is not listed is one by itself."""
    return next((block for block in blocks if name in block), (name,))
