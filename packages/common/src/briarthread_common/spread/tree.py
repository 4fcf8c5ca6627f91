"""Tree along which new versions of a feed are pushed."""

from collections.abc import Sequence

from briarthread_common.messages.instance import Instance, InstanceRole

FANOUT = 3
"""Number of entries to which each entry pushes a new version."""


def push_targets(name: str, tree: Sequence[Instance]) -> list[Instance]:
    """
    Return the instances to which an instance pushes a new version.

    The list holds the entries of the tree level by level. Agents are distributed
    evenly over the entries and push to nobody: an agent shares its instance's link
    with the target's responses, which a large text would delay. If no entry is
    listed, the agents form a tree of their own. An entry that is not listed yet
    pushes to the first ones.
    """
    entries = [row for row in tree if row.role is InstanceRole.ENTRY]
    if not entries:
        return _children(name, tree)
    if all(row.name != name for row in entries):
        return [] if any(row.name == name for row in tree) else entries[:FANOUT]
    index = next(i for i, row in enumerate(entries) if row.name == name)
    agents = [row for row in tree if row.role is not InstanceRole.ENTRY]
    return [*_children(name, entries), *agents[index :: len(entries)]]


def root_of(name: str, tree: Sequence[Instance]) -> Instance | None:
    """
    Return the root of a tree, ``None`` for the root itself.

    Every instance sends new versions to the root, so that they reach the whole tree
    wherever they come in.
    """
    entries = [row for row in tree if row.role is InstanceRole.ENTRY]
    first = next(iter(entries or tree), None)
    return None if first is None or first.name == name else first


def _children(name: str, rows: Sequence[Instance]) -> list[Instance]:
    names = [row.name for row in rows]
    if name not in names:
        return list(rows[:FANOUT])
    first = names.index(name) * FANOUT + 1
    return list(rows[first : first + FANOUT])
