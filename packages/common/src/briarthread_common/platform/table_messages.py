"""Messages of the platform's table."""

from dataclasses import dataclass, field

ABSENT = 0
"""Version of a row that doesn't exist."""


@dataclass(frozen=True, slots=True)
class Row:
    """Row of the table; each write increments its version."""

    key: str
    value: str
    version: int


@dataclass(frozen=True, slots=True)
class RowCheck:
    """Condition that a row is at a version when the transaction commits."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Write of a row; a value of ``None`` removes it."""

    key: str
    value: str | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied only if all checks hold."""

    checks: list[RowCheck] = field(default_factory=list)
    writes: list[RowWrite] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class TransactionAnswer:
    """Whether a transaction was committed, and the keys whose checks failed."""

    committed: bool
    conflicts: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """Rows that were found."""

    rows: list[Row] = field(default_factory=list)
