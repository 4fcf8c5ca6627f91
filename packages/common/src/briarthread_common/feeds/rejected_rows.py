"""Rows of other writers that cannot be decoded."""

from collections.abc import Callable, Container
from typing import TypeVar

from loguru import logger

from briarthread_common.core.exceptions import DecodeError

T = TypeVar("T")


class RejectedRows:
    """
    Decode rows, and log each value that cannot be decoded once.

    ``message`` is the text of the log line, with a field for the error. A row that was
    rejected is not decoded again before its value changes.

    >>> def decode(name: str, raw: str) -> int:
    ...     if not raw.isdigit():
    ...         raise DecodeError(f"{name} is no number")
    ...     return int(raw)
    >>> rows = RejectedRows("numbers: invalid row ignored: {}")
    >>> [rows.decode("a", raw, decode) for raw in ("x", "x", "7")]
    [None, None, 7]
    """

    def __init__(self, message: str) -> None:
        self.message = message
        self.values: dict[str, str] = {}

    def __len__(self) -> int:
        """Return the number of rows whose last value was rejected."""
        return len(self.values)

    def decode(self, name: str, raw: str, decode: Callable[[str, str], T]) -> T | None:
        """Return a decoded row, ``None`` if ``decode`` raises DecodeError for it."""
        if self.values.get(name) == raw:
            return None
        try:
            row = decode(name, raw)
        except DecodeError as error:
            logger.error(self.message, error)
            self.add(name, raw)
            return None
        self.values.pop(name, None)
        return row

    def add(self, name: str, raw: str) -> None:
        """Reject a value of a row for another reason."""
        self.values[name] = raw

    def retain(self, names: Container[str]) -> None:
        """Forget the rows that are no longer listed."""
        self.values = {name: raw for name, raw in self.values.items() if name in names}
