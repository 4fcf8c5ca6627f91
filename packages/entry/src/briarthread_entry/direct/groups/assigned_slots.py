"""
Assignment of the slots of a group's ranks to entries.

Many entries get requests at the same time, and none knows what the others have sent in
the last tenths of a second. If all of them chose the rank that looks least loaded,
their requests would collide there and the whole group would wait for it. The slots of
all ranks are therefore assigned to the entries, and each entry fills its own slots
first. Two entries collide only if one has more requests than assigned slots.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_common.utils.hashing import stable_hash


class AssignedSlots:
    """Cache the number of slots per rank that are assigned to one entry."""

    def __init__(self, name: str, directory: Directory) -> None:
        self.name = name
        self.directory = directory
        self.cache: dict[str, tuple[tuple[object, ...], Mapping[str, int]]] = {}

    def per_rank(
        self, service: str, ranks: Sequence[DirectTarget]
    ) -> Mapping[str, int]:
        """Return the number of assigned slots per name of a service's ranks."""
        version = (self.directory.feed.number, *(rank.name for rank in ranks))
        cached = self.cache.get(service)
        if cached is None or cached[0] != version:
            entries = self.directory.of_role(InstanceRole.ENTRY).values()
            cached = self.cache[service] = (
                version,
                assign_slots(self.name, entries, ranks),
            )
        return cached[1]


def assign_slots(
    name: str, entries: Iterable[Instance], ranks: Iterable[DirectTarget]
) -> dict[str, int]:
    """
    Return the number of slots per rank that are assigned to one entry.

    Slots are assigned to the entries of the rank's own data centre, so that traffic
    stays local, or to all entries if it has none. Every process that knows the same
    entries and ranks computes the same assignment.

    >>> entries = [Instance(f"e{n}", "a", "", InstanceRole.ENTRY) for n in range(2)]
    >>> ranks = [DirectTarget(f"r{n}", "s", "", "a", 2, False) for n in range(3)]
    >>> sum(assign_slots("e0", entries, ranks).values())
    3
    """
    names_by_centre: dict[str, list[str]] = {}
    all_names: list[str] = []
    for row in sorted(entries, key=lambda row: row.name):
        names_by_centre.setdefault(row.data_centre, []).append(row.name)
        all_names.append(row.name)
    slots_by_centre: dict[str, list[tuple[int, str]]] = {}
    for rank in ranks:
        centre = rank.data_centre if rank.data_centre in names_by_centre else ""
        slots_by_centre.setdefault(centre, []).extend(
            (stable_hash("home", rank.name, str(slot)), rank.name)
            for slot in range(rank.slots)
        )
    assigned: Counter[str] = Counter()
    for centre, slots in slots_by_centre.items():
        names = names_by_centre.get(centre, all_names)
        if name in names:
            first = names.index(name)
            assigned.update(rank for _, rank in sorted(slots)[first :: len(names)])
    return dict(assigned)
