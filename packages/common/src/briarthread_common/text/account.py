"""One client account of the text."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Account:
    """
    Describe a client account.

    ``rate`` is in requests a second and ``concurrency`` in requests at one
    time, both over the whole data centre; ``weight`` is its part of a busy
    target. An empty ``services`` allows all.
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
        """Tell whether the account may call a service."""
        return not self.services or service in self.services
