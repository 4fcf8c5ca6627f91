"""Kinds of option values."""

from enum import StrEnum


class OptionKind(StrEnum):
    """Kind of an option's value; error messages state it as the expected value."""

    TEXT = "text"
    INTEGER = "a whole number"
    NUMBER = "a number"
    OPTIONAL_NUMBER = "a number or empty"
    SECONDS = "seconds, above 0"
    FLAG = "yes or no"
    NAMES = "names separated by commas"
    ADDRESS = "IP:PORT"
    ADDRESSES = "IP:PORT values separated by commas"
    DIGESTS = "SHA-256 digests of 64 hex digits separated by commas"
