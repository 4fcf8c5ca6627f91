"""What callers got."""

from dataclasses import dataclass


@dataclass
class CallerResults:
    """Count what became of the requests of a load."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_twice: int = 0
    lost: int = 0
    slowest_refusal: float = 0.0

    @property
    def score(self) -> float:
        """Return what the answers are worth, a late one half."""
        return (self.in_time + 0.5 * self.late) / self.requests
