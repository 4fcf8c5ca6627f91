"""Service in a services text."""

from dataclasses import dataclass
from enum import StrEnum


class TargetKind(StrEnum):
    """Kind of the targets that serve a service."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class Service:
    """
    Describe a service; see the reference of the services text for each option.

    Times are in seconds, sizes in bytes.
    """

    name: str
    kind: TargetKind
    data_centres: tuple[str, ...]
    depends_on: tuple[str, ...]
    idempotent: bool
    deadline: float
    max_deadline: float
    patience: float
    retry_horizon: float
    shares: int
    slots: int
    queue: int
    body_bytes: int
    answer_bytes: int
