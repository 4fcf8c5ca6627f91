"""Taking an attempt back."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class RevokeRequest:
    """Ask an incarnation never to start the attempt ``id`` of a key."""

    key: str
    id: str
    incarnation: str
    deadline: float


class RevokeState(StrEnum):
    """Tell what became of the attempt."""

    REVOKED = "revoked"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class RevokeAnswer:
    """Answer a revoke; ``REVOKED`` proves that the attempt never runs."""

    state: RevokeState
