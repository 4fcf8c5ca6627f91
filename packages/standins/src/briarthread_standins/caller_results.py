"""Results of a load from the callers' point of view."""

from dataclasses import dataclass


@dataclass
class CallerResults:
    """Count the requests of a load by outcome; ``slowest_refusal`` is in seconds."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_twice: int = 0
    lost: int = 0
    slowest_refusal: float = 0.0

    @property
    def score(self) -> float:
        """Return the share of responses in time, with late ones counted half."""
        return (self.in_time + 0.5 * self.late) / self.requests
