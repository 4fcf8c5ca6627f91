"""Entries of the blocklist that is kept in the platform's store."""

from dataclasses import dataclass

import msgspec

from briarthread_common.core.decoding import decode_row
from briarthread_common.core.exceptions import DecodeError


@dataclass(frozen=True, slots=True)
class BlocklistEntry:
    """
    Requests that are refused because they crash targets.

    They are those with a digest, or those whose prompts have all of some segments.
    ``at`` is when they were blocked, in seconds on the store's clock.
    """

    at: float
    digest: str = ""
    segments: tuple[str, ...] = ()

    def is_same(self, other: "BlocklistEntry") -> bool:
        """Return whether two entries refuse the same requests."""
        return (self.digest, self.segments) == (other.digest, other.segments)


def encode_blocklist(entries: list[BlocklistEntry]) -> str:
    """
    Return the text of a list of entries.

    >>> encode_blocklist([BlocklistEntry(1.0, segments=("a/1",))])
    '[{"at":1.0,"digest":"","segments":["a/1"]}]'
    """
    return msgspec.json.encode(entries).decode()


def decode_blocklist(text: str) -> list[BlocklistEntry]:
    """Return the entries in a text, or raise DecodeError."""
    try:
        return decode_row(text, list[BlocklistEntry])
    except DecodeError as error:
        raise DecodeError(f"blocklist: {error}") from error
