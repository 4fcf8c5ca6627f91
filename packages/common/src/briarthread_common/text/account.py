"""Client account in a services text."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Account:
    """
    Describe a client account.

    ``rate`` is in requests per second and ``concurrency`` in concurrent requests,
    both for the whole data centre; ``weight`` is the account's relative share of a
    busy target. An empty ``services`` allows all services.
    """

    name: str
    keys: tuple[str, ...]
    home: str
    weight: float
    rate: float
    concurrency: int
    priority: int
    services: tuple[str, ...]

    def may_call(self, service: str) -> bool:
        """Return whether the account may call a service."""
        return not self.services or service in self.services
