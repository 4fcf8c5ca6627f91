"""
Entries that count in the order of issuers for cold targets.

It handles entries that disagree on which entries exist, for example because some of
them are cut off from the platform. The rates of the first and the second issuer are
safe only if no third entry takes one of these places as well. Three rules ensure this:

- An entry that is removed from the list keeps its place for ``PLACE_SECONDS``.
- An entry that has had no contact with the platform for ``MAX_CONTACT_AGE_SECONDS``, a
  shorter time, issues no tokens. It therefore stops before another one takes its place.
- An entry that is new in the list takes its place at once, but issues tokens only after
  ``PLACE_SECONDS``, when all entries know it or have stopped. It then lists itself as
  settled. An entry that is listed as settled when it starts is not new: its place never
  changed, so it issues at once, with empty buckets.
"""

from collections.abc import Callable, Mapping

import anyio

from briarthread_common.direct.direct_target import DirectTarget
from briarthread_common.messages.instance import Instance, InstanceRole
from briarthread_common.spread.directory import Directory
from briarthread_entry.direct.limits.issuer_order import COLD_ISSUERS, issuers_of

MAX_CONTACT_AGE_SECONDS = 10.0
"""Age of the last contact with the platform, in seconds, up to which an entry issues
tokens for cold targets. Short outages of the platform do not end the issuing."""
PLACE_SECONDS = 16.0
"""Time in seconds for which a removed entry keeps its place. It exceeds
``MAX_CONTACT_AGE_SECONDS`` by the time in which a poller notices that the platform does
not answer."""


class IssuerMembers:
    """
    Track the listed and recently removed entries.

    ``contact_age`` returns the seconds since the last contact with the platform,
    ``address`` is the one at which this entry listens.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        contact_age: Callable[[], float],
        address: str = "",
    ) -> None:
        self.name = name
        self.address = address
        self.directory = directory
        self.contact_age = contact_age
        self.listed: dict[str, Instance] = {}
        self.removed: dict[str, tuple[Instance, float]] = {}
        self.listed_since = float("inf")
        self.is_first_list = True

    async def follow(self) -> None:
        """
        Apply each version of the list of instances until cancelled.

        An entry that does not follow the list issues no tokens. When it follows the
        list again, it takes its place like a new one.
        """
        feed = self.directory.feed
        try:
            while True:
                number = feed.number
                self.apply(anyio.current_time())
                await feed.wait_for_newer(number)
        finally:
            self.listed_since = float("inf")

    def apply(self, now: float) -> None:
        """Apply the current version of the list."""
        listed = self.directory.of_role(InstanceRole.ENTRY)
        for name, row in self.listed.items():
            if name not in listed:
                self.removed[name] = (row, now + PLACE_SECONDS)
        self.removed = {
            name: kept
            for name, kept in self.removed.items()
            if name not in listed and kept[1] > now
        }
        if self.name not in listed:
            self.listed_since = float("inf")
        elif self.name not in self.listed or self.listed_since == float("inf"):
            self.listed_since = float("-inf") if self._was_settled(listed) else now
        self.is_first_list = self.is_first_list and not listed
        self.listed = listed

    def _was_settled(self, listed: Mapping[str, Instance]) -> bool:
        """Return whether this entry had settled before this process started."""
        row = listed[self.name]
        return self.is_first_list and row.settled and row.address == self.address

    def has_settled(self, now: float) -> bool:
        """Return whether this entry is to list itself as settled."""
        row = self.listed.get(self.name)
        return row is not None and not row.settled and self.may_issue(now)

    def entries(self, now: float) -> dict[str, Instance]:
        """Return the entries that have a place in the order, by name."""
        kept = {name: row for name, (row, until) in self.removed.items() if until > now}
        return {**kept, **self.listed}

    def order(self, target: DirectTarget, now: float) -> list[str]:
        """Return the first and the second issuer of a cold target's tokens."""
        return issuers_of(target, self.entries(now))[:COLD_ISSUERS]

    def may_issue(self, now: float) -> bool:
        """Return whether this entry may issue tokens in its place."""
        listed_seconds = now - self.listed_since
        return (
            listed_seconds >= PLACE_SECONDS
            and self.contact_age() <= MAX_CONTACT_AGE_SECONDS
        )
