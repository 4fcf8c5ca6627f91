"""The tree along which a new version is told."""

from collections.abc import Sequence

from briarthread_common.messages.instance import Instance, InstanceRole

FANOUT = 3
"""How many entries each one tells at once when a feed has moved."""


def push_targets(name: str, tree: Sequence[Instance]) -> list[Instance]:
    """
    Return the instances that one of a tree sends a new version to.

    The entries of the tree lie in their list level by level. Agents are told
    by the entries, shared out evenly, and tell nobody: the link of an agent's
    instance carries its target's answers, and a large text on it holds them
    up. Where no entry is listed the agents make a tree of their own. One that
    is not listed yet tells the first.
    """
    entries = [row for row in tree if row.role is InstanceRole.ENTRY]
    if not entries:
        return _below(name, tree)
    if all(row.name != name for row in entries):
        return [] if any(row.name == name for row in tree) else entries[:FANOUT]
    place = next(i for i, row in enumerate(entries) if row.name == name)
    agents = [row for row in tree if row.role is not InstanceRole.ENTRY]
    return [*_below(name, entries), *agents[place :: len(entries)]]


def root_of(name: str, tree: Sequence[Instance]) -> Instance | None:
    """
    Return the root of a tree, which every one tells of what it has heard.

    Where a version comes in does not matter then: the whole tree hears of it.
    It is ``None`` for the root itself.
    """
    entries = [row for row in tree if row.role is InstanceRole.ENTRY]
    first = next(iter(entries or tree), None)
    return None if first is None or first.name == name else first


def _below(name: str, rows: Sequence[Instance]) -> list[Instance]:
    names = [row.name for row in rows]
    if name not in names:
        return list(rows[:FANOUT])
    first = names.index(name) * FANOUT + 1
    return list(rows[first : first + FANOUT])
