"""What a holder hands over of one key."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ExportedRecord:
    """
    Describe one remembered key.

    With ``finished`` false the run is still going on at the giver, or ended
    without an answer if ``failed``; its outcome is then unknown.
    """

    key: str
    account: str
    share: int
    fingerprint: int
    expires: float
    finished: bool
    failed: bool = False
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HandOver:
    """Carry the remembered keys of shares to their next holder."""

    service: str
    incarnation: str
    answers: list[ExportedRecord]
