"""Typed services text."""

from dataclasses import dataclass, field

from briarthread_common.text.account import Account
from briarthread_common.text.data_centre import DataCentre
from briarthread_common.text.group import Group
from briarthread_common.text.objective import Objective
from briarthread_common.text.service import Service


@dataclass(frozen=True, slots=True)
class ServicesText:
    """
    Hold the services, accounts, groups and data centres of a text by name.

    ``number`` is its version; 0 means that no text is known yet.
    ``accounts_by_key`` maps the digest of each key to its account.
    """

    number: int = 0
    services: dict[str, Service] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)
    objective: Objective = Objective()
    accounts_by_key: dict[str, Account] = field(default_factory=dict)

    def group_of(self, target: str) -> Group | None:
        """Return the group to which a target belongs, ``None`` if it has none."""
        return next((g for g in self.groups.values() if target in g.targets), None)

    def key_home(self, account: Account, service: Service) -> str:
        """
        Return the data centre that stores an account's keys for a service.

        It is the account's home or, if the service has no targets there,
        the first data centre of the service by name.
        """
        if account.home in service.data_centres:
            return account.home
        return min(service.data_centres)
