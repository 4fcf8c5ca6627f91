"""Record of briarthread in the platform's store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """
    A text and its version, 0 and empty if there is none.

    ``now`` is the time of the read in seconds on the store's clock, which all readers
    share and which does not jump.
    """

    text: str
    version: int
    now: float
