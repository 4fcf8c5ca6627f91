"""Messages that revoke an attempt."""

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
    """State of an attempt after a request to revoke it."""

    REVOKED = "revoked"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class RevokeAnswer:
    """Answer to a RevokeRequest; ``REVOKED`` proves that the attempt never runs."""

    state: RevokeState
