"""A services text in force."""

from dataclasses import dataclass, field

from briarthread_common.text.account import Account
from briarthread_common.text.data_centre import DataCentre
from briarthread_common.text.group import Group
from briarthread_common.text.objective import Objective
from briarthread_common.text.service import Service


@dataclass(frozen=True, slots=True)
class ServicesText:
    """
    Hold a text's services, accounts, groups and data centres by name.

    ``number`` is its version; 0 means that no text is known yet.
    ``accounts_by_key`` finds an account by the digest of one of its keys.
    """

    number: int = 0
    services: dict[str, Service] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)
    objective: Objective = Objective()
    accounts_by_key: dict[str, Account] = field(default_factory=dict)

    def group_of(self, target: str) -> Group | None:
        """Return the group that a target belongs to, ``None`` if to none."""
        return next((g for g in self.groups.values() if target in g.targets), None)

    def key_home(self, account: Account, service: Service) -> str:
        """
        Return the data centre that keeps an account's keys for a service.

        It is the account's home, or where the service has no targets there,
        the first data centre of the service in name order.
        """
        if account.home in service.data_centres:
            return account.home
        return min(service.data_centres)
