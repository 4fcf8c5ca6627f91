"""Messages of a hand-over of shares."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ExportedRecord:
    """
    Describe the record of one key.

    If ``finished`` is false, the run is still in progress on the sender or, if
    ``failed`` is true, ended without a complete response; its outcome is then
    unknown.
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
    """Transfer the records of shares to their next holder."""

    service: str
    incarnation: str
    answers: list[ExportedRecord]
