"""Results of a load from the callers' point of view."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class CallerResults:
    """
    Count the requests of a load by outcome; ``slowest_refusal`` is in seconds.

    ``parts`` holds the results by priority and account of a load that has priorities.
    """

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_twice: int = 0
    lost: int = 0
    slowest_refusal: float = 0.0
    parts: dict[tuple[int, str], "CallerResults"] = field(default_factory=dict)

    @property
    def score(self) -> float:
        """Return the share of responses in time, with late ones counted half."""
        return (self.in_time + 0.5 * self.late) / self.requests

    @property
    def in_time_share(self) -> float:
        """Return the share of requests that were served in time."""
        return self.in_time / max(self.requests, 1)

    @property
    def served_share(self) -> float:
        """Return the share of requests that were served, in time or late."""
        return (self.in_time + self.late) / max(self.requests, 1)

    def part(self, priority: int, account: str) -> "CallerResults":
        """Return the results of a priority and an account, created on first use."""
        return self.parts.setdefault((priority, account), CallerResults())

    def of_priority(self, priority: int) -> "CallerResults":
        """Return the results of a priority."""
        return _sum(part for key, part in self.parts.items() if key[0] == priority)

    def of_account(self, account: str) -> "CallerResults":
        """Return the results of an account."""
        return _sum(part for key, part in self.parts.items() if key[1] == account)

    def add(self, other: "CallerResults") -> None:
        """Add the counts of other requests."""
        self.requests += other.requests
        self.in_time += other.in_time
        self.late += other.late
        self.refused += other.refused
        self.refused_twice += other.refused_twice
        self.lost += other.lost
        self.slowest_refusal = max(self.slowest_refusal, other.slowest_refusal)


def _sum(parts: Iterable[CallerResults]) -> CallerResults:
    total = CallerResults()
    for part in parts:
        total.add(part)
    return total
