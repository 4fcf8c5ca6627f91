"""The kinds of value that an option can hold."""

from enum import StrEnum


class OptionKind(StrEnum):
    """Name a kind of value; its text says what was expected."""

    TEXT = "text"
    INTEGER = "a whole number"
    NUMBER = "a number"
    SECONDS = "seconds, above 0"
    FLAG = "yes or no"
    NAMES = "names separated by commas"
    ADDRESS = "IP:PORT"
    ADDRESSES = "IP:PORT values separated by commas"
    DIGESTS = "SHA-256 digests of 64 hex digits separated by commas"
