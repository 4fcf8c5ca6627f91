"""The messages of the platform's table."""

from dataclasses import dataclass, field

ABSENT = 0
"""The version of a row that does not exist."""


@dataclass(frozen=True, slots=True)
class Row:
    """Hold a row: its value and the version that each write raises."""

    key: str
    value: str
    version: int


@dataclass(frozen=True, slots=True)
class RowCheck:
    """Demand that a row is at a version when the transaction commits."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Set a row; a value of ``None`` removes it."""

    key: str
    value: str | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Write all rows if all checks hold, else none."""

    checks: list[RowCheck] = field(default_factory=list)
    writes: list[RowWrite] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class TransactionAnswer:
    """Tell whether a transaction took effect, and which rows stood in the way."""

    committed: bool
    conflicts: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """Hold the rows that were found."""

    rows: list[Row] = field(default_factory=list)
