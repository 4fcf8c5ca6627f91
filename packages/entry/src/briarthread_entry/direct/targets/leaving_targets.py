"""Targets that announced in a response that they are shutting down."""

from collections.abc import Collection, Iterable

from loguru import logger


class LeavingTargets:
    """
    Track the targets that get no new requests because they announced their shutdown.

    An announcement in this entry's own responses holds until the target is removed from
    the list, whatever state the list gives it. One reported by another entry holds as
    long as that entry reports it, so that a target restarted under the same name is
    used again once that entry has seen its removal too.

    >>> targets = LeavingTargets()
    >>> targets.note_leaving("t-1")
    >>> targets.set_reported("entry-2", ["t-2"])
    >>> targets.is_leaving("t-1"), targets.is_leaving("t-2"), targets.own_names()
    (True, True, ('t-1',))
    >>> targets.drop("entry-2")
    >>> targets.retain([])
    >>> targets.is_leaving("t-1"), targets.is_leaving("t-2")
    (False, False)
    """

    def __init__(self) -> None:
        self.own: set[str] = set()
        self.reported: dict[str, frozenset[str]] = {}

    def note_leaving(self, target: str) -> None:
        """Record that a target announced its shutdown to this entry."""
        if target not in self.own:
            logger.info("targets: {} is leaving, according to its response", target)
            self.own.add(target)

    def set_reported(self, entry: str, targets: Iterable[str]) -> None:
        """Replace the leaving targets that another entry reports."""
        reported = frozenset(targets)
        for target in sorted(reported - self.reported.get(entry, frozenset())):
            logger.info("targets: {} is leaving, according to {}", target, entry)
        if reported:
            self.reported[entry] = reported
        else:
            self.reported.pop(entry, None)

    def drop(self, entry: str) -> None:
        """Forget what another entry reported."""
        self.reported.pop(entry, None)

    def is_leaving(self, target: str) -> bool:
        """Return whether a target announced its shutdown to any entry."""
        return target in self.own or any(
            target in targets for targets in self.reported.values()
        )

    def discard(self, targets: Collection[str]) -> None:
        """Forget the announcements of the given targets to all entries."""
        self.own.difference_update(targets)
        self.reported = {
            entry: remaining
            for entry, reported in self.reported.items()
            if (remaining := reported.difference(targets))
        }

    def own_names(self) -> tuple[str, ...]:
        """Return the sorted names of the targets to report to other entries."""
        return tuple(sorted(self.own))

    def retain(self, targets: Collection[str]) -> None:
        """Forget the announcements to this entry, except those of the given targets."""
        self.own.intersection_update(targets)
