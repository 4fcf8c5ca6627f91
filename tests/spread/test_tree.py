"""Who tells whom of a new version."""

import pytest

from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.tree import push_targets, root_of


def build_tree(entries: int, agents: int) -> list[Instance]:
    """Return a tree with agents among the entries."""
    rows = [build_row(f"entry-{n}", InstanceRole.ENTRY) for n in range(entries)]
    for number in range(agents):
        rows.insert(number * 2, build_row(f"agent-{number}", InstanceRole.TARGET))
    return rows


def build_row(name: str, role: InstanceRole) -> Instance:
    """Return a listed instance."""
    return Instance(name, "palermo", f"{name}:9", role)


@pytest.mark.parametrize(
    ("entries", "agents"), [(1, 0), (3, 4), (15, 21), (61, 163), (0, 9)]
)
def test_everyone_but_the_root_is_told_by_exactly_one(
    entries: int, agents: int
) -> None:
    tree = build_tree(entries, agents)
    told = [row.name for teller in tree for row in push_targets(teller.name, tree)]
    root = next(row.name for row in tree if root_of(row.name, tree) is None)
    assert sorted(told) == sorted(row.name for row in tree if row.name != root)


def test_agents_send_a_text_to_nobody_where_there_are_entries() -> None:
    tree = build_tree(3, 4)
    agents = [row for row in tree if row.role is InstanceRole.TARGET]
    assert [push_targets(row.name, tree) for row in agents] == [[]] * 4


def test_entry_that_is_not_listed_yet_tells_the_first() -> None:
    tree = build_tree(5, 2)
    names = [row.name for row in push_targets("entry-new", tree)]
    assert names == ["entry-0", "entry-1", "entry-2"]
    root = root_of("entry-new", tree)
    assert root is not None
    assert root.name == "entry-0"
