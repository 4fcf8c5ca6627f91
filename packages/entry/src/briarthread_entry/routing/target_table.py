"""Targets whose load an entry watches."""

from briarthread_common.messages.instance import Instance
from briarthread_common.spread.directory import Directory
from briarthread_common.text.services_text import ServicesText
from briarthread_common.utils.hashing import rendezvous_order
from briarthread_entry.routing.target_state import TargetState

MAX_WATCHED = 64
"""Targets that one entry watches, unless ``MIN_SUBSET`` per service are more."""
MIN_SUBSET = 2
"""Fewest targets of each service that an entry watches."""


class TargetTable:
    """
    Hold the state of each target that this entry watches.

    Of a service with many targets in the data centre, an entry watches a subset. It
    is selected by rendezvous hashing with the entry's name, so that entries watch
    different subsets and a change of the instance list alters few of them.
    """

    def __init__(self, name: str, data_centre: str, directory: Directory) -> None:
        self.name = name
        self.data_centre = data_centre
        self.directory = directory
        self.states: dict[str, TargetState] = {}

    def refresh(self, text: ServicesText) -> None:
        """Update the watched targets from the services text and the instance list."""
        selected = self._select_targets(text)
        for name in self.states.keys() - selected.keys():
            del self.states[name]
        for name, instance in selected.items():
            known = self.states.get(name)
            if known is None or known.instance != instance:
                self.states[name] = TargetState(instance)

    def by_service(self, service: str) -> list[TargetState]:
        """Return the watched targets of a service."""
        return [
            state for state in self.states.values() if state.instance.service == service
        ]

    def by_address(self, address: str) -> TargetState | None:
        """Return the watched target at an address."""
        return next(
            (s for s in self.states.values() if s.instance.address == address), None
        )

    def _select_targets(self, text: ServicesText) -> dict[str, Instance]:
        selected: dict[str, Instance] = {}
        subset = subset_size(len(text.services))
        for service in text.services.values():
            rows = self.directory.targets(service.name, self.data_centre)
            by_name = {row.name: row for row in rows}
            chosen = rendezvous_order(self.name, by_name)[:subset]
            selected.update({name: by_name[name] for name in chosen})
        return selected


def subset_size(services: int) -> int:
    """
    Return how many targets of each service an entry watches.

    Entries of a small deployment watch all of them; with many services two of each
    are enough for a choice.

    >>> subset_size(2), subset_size(31)
    (32, 2)
    """
    return max(MIN_SUBSET, MAX_WATCHED // max(services, 1))
