"""The tree along which a new version is told."""

from collections.abc import Sequence

from briarthread_common.messages.instance import Instance

FANOUT = 3
"""How many processes each one tells at once when a feed has moved."""


def told_by(name: str, tree: Sequence[Instance]) -> list[Instance]:
    """
    Return the instances that one of a tree tells of a new version.

    The tree lies in its list level by level. Where a version comes in does
    not matter: whoever installs it tells those below it and the root, so
    that the whole tree hears of it. One that is not listed yet tells the
    root and those beside it.
    """
    names = [row.name for row in tree]
    if name not in names:
        return list(tree[:FANOUT])
    place = names.index(name)
    first = place * FANOUT + 1
    root = tree[:1] if place else []
    return [*root, *tree[first : first + FANOUT]]
