"""
Which slots of a group's ranks an entry fills first.

It answers requests that come to many entries at once, none of which knows what
the others have sent in the last tenths of a second. Where all send to the rank
that looks least loaded, they meet there, and the whole group waits for it. So the
slots of all ranks are dealt out to the entries, and each fills its own first: two
entries then meet only where one has more than its part.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.hashing import stable_hash


class AssignedSlots:
    """Tell how many slots of each rank are one entry's own."""

    def __init__(self, name: str, directory: Directory) -> None:
        self.name = name
        self.directory = directory
        self.known: dict[str, tuple[tuple[object, ...], Mapping[str, int]]] = {}

    def of(self, service: str, ranks: Sequence[DirectTarget]) -> Mapping[str, int]:
        """Return the entry's own slots of a service by the names of ranks."""
        state = (self.directory.feed.number, *(rank.name for rank in ranks))
        known = self.known.get(service)
        if known is None or known[0] != state:
            entries = self.directory.of_role(InstanceRole.ENTRY).values()
            known = self.known[service] = (
                state,
                assign_slots(self.name, entries, ranks),
            )
        return known[1]


def assign_slots(
    name: str, entries: Iterable[Instance], ranks: Iterable[DirectTarget]
) -> dict[str, int]:
    """
    Return the slots of each rank that are dealt to one entry.

    Ranks are dealt to the entries of their own data centre, so that traffic stays
    there; where it has none, to all entries. Every process that knows the same
    entries and ranks deals alike.

    >>> entries = [Instance(f"e{n}", "a", "", InstanceRole.ENTRY) for n in range(2)]
    >>> ranks = [DirectTarget(f"r{n}", "s", "", "a", 2, False) for n in range(3)]
    >>> sum(assign_slots("e0", entries, ranks).values())
    3
    """
    by_centre: dict[str, list[str]] = {}
    everyone: list[str] = []
    for row in sorted(entries, key=lambda row: row.name):
        by_centre.setdefault(row.data_centre, []).append(row.name)
        everyone.append(row.name)
    shares: dict[str, list[tuple[int, str]]] = {}
    for rank in ranks:
        centre = rank.data_centre if rank.data_centre in by_centre else ""
        shares.setdefault(centre, []).extend(
            (stable_hash("home", rank.name, str(slot)), rank.name)
            for slot in range(rank.slots)
        )
    own: Counter[str] = Counter()
    for centre, slots in shares.items():
        holders = by_centre.get(centre, everyone)
        if name in holders:
            first = holders.index(name)
            own.update(rank for _, rank in sorted(slots)[first :: len(holders)])
    return dict(own)
