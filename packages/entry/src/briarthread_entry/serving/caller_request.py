"""One request of a caller."""

from dataclasses import dataclass

from briarthread_common.text.account import Account
from briarthread_common.text.service import Service


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    Describe a request whose head was read and accepted.

    ``key`` is the caller's idempotency key within its account, or drawn at
    random where the caller gave none (``keyed`` false). ``deadline`` is Unix
    time in seconds. ``path`` is what the target gets, query included.
    """

    id: str
    account: Account
    service: Service
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    keyed: bool
    idempotent: bool
    deadline: float

    @property
    def needs_holder(self) -> bool:
        """Tell whether only the holder of the key's share may run it."""
        return self.keyed and not self.idempotent
