"""Request of a caller."""

from dataclasses import dataclass

from briarthread_common.text.account import Account
from briarthread_common.text.service import Service


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    Hold a request that was read and validated.

    ``key`` is the caller's idempotency key within its account; if the caller sent
    none, it is random and ``keyed`` is false. ``deadline`` is Unix time in seconds.
    ``path`` is the path sent to the target, including the query.
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
        """Return whether only the holder of the key's share may run the request."""
        return self.keyed and not self.idempotent
